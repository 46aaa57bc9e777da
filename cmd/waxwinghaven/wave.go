package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/upkeep"
)

// waveCommands adds the commands for the machines that host the workers and their upkeep.
func (c *cli) waveCommands() {
	machines := c.app.Command("machines", "Lists and moves the machines that host the workers.")
	machines.Command("list", "Lists them.").Action(func(*kingpin.ParseContext) error { return c.listMachines() })
	move := machines.Command("move", "Moves a machine to another pool; everything on it ends.")
	m := control.MachineMove{}
	move.Arg("machine", "Its name, as the list has it.").Required().StringVar(&m.Machine)
	move.Arg("pool", "The service whose workers it is to host.").Required().StringVar(&m.Pool)
	move.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		return client.MoveMachine(m)
	})

	top := c.app.Command("wave", "Starts and lists waves of upkeep.")
	start := top.Command("start", "Starts a wave, which takes each machine down once for its upkeep; sent again under the same number it is still one wave.\n\nExample: waxwinghaven wave start 7 m-0a3f1 m-141e8 --within 10m --at-once 1")
	w := upkeep.Wave{}
	start.Arg("number", "The wave's number, unique among waves.").Required().Uint64Var(&w.Number)
	start.Arg("machines", "The machines' names, as `machines list` has them.").Required().StringsVar(&w.Machines)
	within := start.Flag("within", "How long the wave may take.").Default("10m").Duration()
	start.Flag("at-once", "How many may be down at once.").Default("1").IntVar(&w.MaxConcurrent)
	start.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		w.DurationMS = int64(*within / time.Millisecond)
		return client.StartWave(w)
	})
	top.Command("list", "Lists waves, the highest number first.").Action(func(*kingpin.ParseContext) error { return c.listWaves() })
}

func (c *cli) listMachines() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Machines()
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "MACHINE\tPOOL\tUP\tWORKER")
		for _, m := range list {
			fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", m.Name, m.Pool, m.Up, m.Worker)
		}
	})
}

func (c *cli) listWaves() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Waves()
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WAVE\tMACHINES\tAT ONCE\tCOMPLETED\tWAITING\tEMPTYING\tORDERED\tDOWN\tBACK")
		for _, x := range list {
			fmt.Fprintf(w, "%d\t%d\t%d\t%v", x.Number, len(x.Machines), x.MaxConcurrent, x.Completed)
			for p := upkeep.Waiting; p <= upkeep.Back; p++ {
				fmt.Fprintf(w, "\t%d", x.Phases[p.String()])
			}
			fmt.Fprintln(w)
		}
	})
}
