package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/lease"
	"github.com/waxwinghaven/waxwinghaven/operator"
)

func (c *cli) taskCommands() {
	top := c.app.Command("task", "Submits, cancels and lists tasks.")
	c.submitCommand(top)
	c.cancelCommand(top)
	list := top.Command("list", "Lists tasks, and why they wait.")
	q := operator.TaskQuery{}
	list.Flag("id", "A task or submission.").StringVar(&q.ID)
	list.Flag("market", "Only of this market.").StringVar(&q.Market)
	list.Flag("job", "Only of this job.").StringVar(&q.Job)
	list.Flag("phase", "Only in this phase.").EnumVar(&q.Phase, "waiting", "placed", "stopping", "done", "set-aside", "cancelled")
	list.Flag("limit", "At most this many.").Default("100").IntVar(&q.Limit)
	list.Action(func(*kingpin.ParseContext) error { return c.listTasks(q) })
}

func (c *cli) submitCommand(top *kingpin.CmdClause) {
	cmd := top.Command("submit", "Submits tasks of a job.")
	s := lease.Submit{}
	cmd.Arg("market", "The market.").Required().StringVar(&s.Market)
	cmd.Arg("job", "The job.").Required().StringVar(&s.Job)
	cmd.Flag("count", "How many.").Default("1").IntVar(&s.Count)
	cmd.Flag("id", "The submission's id; send one with an unknown outcome again under the same id and time.").StringVar(&s.ID)
	cmd.Flag("issued-ms", "When it was first sent, in milliseconds since 1970; by default now.").Int64Var(&s.IssuedMS)
	wait := cmd.Flag("wait", "Wait until all have ended, at most this long.").Default("0s").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		if s.ID == "" {
			s.ID = operator.NewID()
		}
		if s.IssuedMS == 0 {
			s.IssuedMS = time.Now().UnixMilli()
		}
		return c.submit(s, *wait)
	})
}

func (c *cli) submit(s lease.Submit, wait time.Duration) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	a, err := client.Submit(s)
	if err != nil {
		return fmt.Errorf("submission %s issued %d: %w", s.ID, s.IssuedMS, err)
	}
	err = c.show(a, func(w *tabwriter.Writer) { fmt.Fprintf(w, "submitted\t%d tasks\tfrom %s\n", a.Count, a.First) })
	if err != nil || wait == 0 {
		return err
	}
	return c.waitFinished(client, s, wait)
}

func (c *cli) waitFinished(client *operator.Client, s lease.Submit, maxWait time.Duration) error {
	deadline := time.Now().Add(maxWait)
	for time.Now().Before(deadline) {
		tasks, err := client.Tasks(operator.TaskQuery{ID: s.ID, Limit: s.Count})
		if err != nil {
			return err
		}
		phases := make(map[lease.Phase]int)
		finished := 0
		for _, t := range tasks {
			phases[t.Phase]++
			if t.Over() {
				finished++
			}
		}
		if finished == s.Count {
			fmt.Printf("over: %v\n", phases)
			if phases[lease.Done] < s.Count {
				return fmt.Errorf("only %d of %d tasks are done; see 'waxwinghaven task list --id %s'", phases[lease.Done], s.Count, s.ID)
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the tasks of %s are not over after %v; see 'waxwinghaven task list --id %s'", s.ID, maxWait, s.ID)
}

func (c *cli) cancelCommand(top *kingpin.CmdClause) {
	cmd := top.Command("cancel", "Cancels all tasks of a job, or those named.")
	x := lease.Cancel{}
	cmd.Arg("market", "The market.").Required().StringVar(&x.Market)
	cmd.Flag("job", "All tasks of this job.").StringVar(&x.Job)
	cmd.Flag("task", "One task; may be repeated.").StringsVar(&x.Tasks)
	cmd.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		a, err := client.Cancel(x)
		if err != nil {
			return err
		}
		return c.show(a, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "cancelled\t%d\tstopping\t%d\talready over\t%d\n", a.Cancelled, a.Stopping, a.Over)
		})
	})
}

func (c *cli) listTasks(q operator.TaskQuery) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	tasks, err := client.Tasks(q)
	if err != nil {
		return err
	}
	return c.show(tasks, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "TASK\tJOB\tPHASE\tRAN\tATTEMPT\tAGENT\tEVICTIONS\tFAILURES\tREASON")
		for _, t := range tasks {
			fmt.Fprintf(w, "%s\t%s/%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n", t.ID, t.Market, t.Job, t.Phase, t.Ran, t.Attempt, t.Agent, t.Evictions, t.Failures, t.Reason)
		}
	})
}
