package main

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/rollout"
)

func (c *cli) clusterCommands() {
	c.app.Command("init", "Makes a new cluster at the first address of --to. Run it only once for a system.").Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		if err := client.Init(); err != nil {
			return err
		}
		fmt.Println("made a new cluster; the other replicas join by themselves")
		return nil
	})
	c.app.Command("status", "Shows the replicas, and the revision that each instance has in force.").Action(func(*kingpin.ParseContext) error { return c.status() })
	c.app.Command("members", "Lists the agents, their upstreams and workers.").Action(func(*kingpin.ParseContext) error { return c.members() })
	c.app.Command("hand-over", "Hands the leadership to another replica.").Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		leader, err := client.HandOver()
		if err != nil {
			return err
		}
		fmt.Printf("the leader is now %s\n", leader)
		return nil
	})
}

// unresponsiveAfter is the time without an acknowledgement after which the table lists an
// instance as silent.
const unresponsiveAfter = 10 * time.Second

// mergeAcknowledgements returns the newest revision, and the newest acknowledgement of each
// instance. Each replica knows only the instances that asked it.
func mergeAcknowledgements(statuses []control.StatusAnswer) (uint64, map[string]rollout.Instance) {
	var revision uint64
	rows := make(map[string]rollout.Instance)
	for _, s := range statuses {
		revision = max(revision, s.Revision)
		for _, i := range s.Instances {
			key := i.Role + "/" + i.Name
			old, ok := rows[key]
			if !ok || i.SinceAck < old.SinceAck {
				i.Revision = max(i.Revision, old.Revision)
				rows[key] = i
			}
		}
	}
	return revision, rows
}

// instancesBehind returns the responsive instances without the newest revision.
func instancesBehind(client *operator.Client) []string {
	statuses, _ := client.Statuses()
	revision, rows := mergeAcknowledgements(statuses)
	var behind []string
	if len(rows) == 0 {
		behind = append(behind, "every instance: none has acknowledged a revision yet")
	}
	for key, i := range rows {
		if i.Revision < revision && i.SinceAck < unresponsiveAfter {
			behind = append(behind, key)
		}
	}
	return behind
}

func (c *cli) status() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	statuses, failed := client.Statuses()
	for addr, err := range failed {
		fmt.Printf("%s does not answer: %v\n", addr, err)
	}
	if len(statuses) == 0 {
		return fmt.Errorf("no replica answers; check --to")
	}
	return c.show(statuses, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "REPLICA\tROLE\tVOTES\tTERM\tLEADER\tCOMMIT\tREVISION\tIN CONTACT\tWAITING\tWORKERS\tLEASED")
		for _, s := range statuses {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%d\t%d\t%v\t%d\t%d\t%d\n", s.Replica, s.Role, s.Votes, s.Term, s.Leader, s.Commit, s.Revision, s.InContact, s.Waiting, s.Workers, s.Leased)
		}
		for _, s := range statuses {
			if s.Short != nil {
				fmt.Fprintf(w, "\nThe replica set %v.\n", s.Short)
			}
		}
		revision, rows := mergeAcknowledgements(statuses)
		fmt.Fprintln(w, "\nINSTANCE\tREVISION\tSTATE\tLAST HEARD")
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			i := rows[key]
			state := "in force"
			switch {
			case i.SinceAck > unresponsiveAfter:
				state = "silent"
			case i.Revision < revision:
				state = "behind"
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%v\n", key, i.Revision, state, i.SinceAck.Round(time.Millisecond))
		}
	})
}

func (c *cli) members() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Members()
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "AGENT\tSTATE\tSERVICE\tDATA CENTRE\tRACK\tSLOTS\tMILLI-CPU\tMEMORY MB\tREASON")
		for _, m := range list {
			fmt.Fprintf(w, "%s\t%s\t%s/%s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.Agent, m.Phase, m.Market, m.Service, m.DataCentre, m.Rack, m.Slots, m.Capacity.MilliCPU, m.Capacity.MemoryMB, m.Reason)
		}
	})
}
