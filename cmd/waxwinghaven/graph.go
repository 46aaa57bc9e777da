package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// graphCommands adds the commands for callers' jobs, which are graphs of steps, for the queues
// that accept them and for the workers that run them.
func (c *cli) graphCommands() {
	top := c.app.Command("graph", "Submits, cancels and lists callers' jobs: graphs of steps.")
	submit := top.Command("submit", "Submits a job; sent again under the same path it is still one job.")
	j := control.JobRequest{}
	submit.Arg("host", "The queue's host.").Required().StringVar(&j.Host)
	submit.Arg("path", "The queue's prefix and the job's id of 16 hexadecimal digits.").Required().StringVar(&j.Path)
	file := submit.Arg("file", "The job as JSON, see docs/API.md.").Required().ExistingFile()
	wait := submit.Flag("wait", "Wait until it has ended, at most this long.").Default("0s").Duration()
	submit.Action(func(*kingpin.ParseContext) error { return c.submitGraph(j, *file, *wait) })

	cancel := top.Command("cancel", "Cancels a job.")
	x := control.JobRequest{}
	cancel.Arg("host", "The queue's host.").Required().StringVar(&x.Host)
	cancel.Arg("path", "The queue's prefix and the job's id.").Required().StringVar(&x.Path)
	cancel.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		return client.CancelJob(x)
	})

	list := top.Command("list", "Lists jobs, the newest first.")
	id := list.Flag("id", "Only this job.").String()
	limit := list.Flag("limit", "At most this many.").Default("100").Int()
	list.Action(func(*kingpin.ParseContext) error { return c.listGraphs(*id, *limit) })

	c.app.Command("workers", "Lists the workers of callers' jobs.").Action(func(*kingpin.ParseContext) error { return c.listWorkers() })

	q := c.app.Command("queues", "Shows or replaces the queues' configuration.")
	q.Command("show", "Shows the configuration in force.").Action(func(*kingpin.ParseContext) error { return c.showQueues() })
	put := q.Command("put", "Sends a configuration; the highest version is in force.")
	config := put.Arg("file", "The configuration as JSON, see docs/API.md.").Required().ExistingFile()
	put.Action(func(*kingpin.ParseContext) error { return c.putQueues(*config) })
}

// readFile reads a JSON file strictly, since a misspelt field must not be ignored.
func readFile(path string, v any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%s cannot be read (%v); see docs/API.md for the fields", path, err)
	}
	return nil
}

func (c *cli) submitGraph(j control.JobRequest, file string, wait time.Duration) error {
	j.Spec = &jobs.Spec{}
	if err := readFile(file, j.Spec); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if err := client.SubmitJob(j); err != nil || wait == 0 {
		return err
	}
	return c.awaitGraph(client, path.Base(j.Path), wait)
}

// graphPoll is the interval at which awaitGraph polls a job's phase.
const graphPoll = 100 * time.Millisecond

// awaitGraph waits for a job's end. Any end other than completion is an error.
func (c *cli) awaitGraph(client *operator.Client, id string, wait time.Duration) error {
	phase := "not known"
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(graphPoll) {
		list, err := client.Jobs(id, 1)
		if err != nil || len(list) == 0 {
			continue // a replica may be unavailable; the deadline bounds the wait
		}
		phase = list[0].Phase
		switch phase {
		case jobs.Completed.String():
			fmt.Printf("job %s: %d tasks are done\n", id, list[0].Done)
			return nil
		case jobs.Failed.String(), jobs.Cancelled.String():
			return fmt.Errorf("job %s is %s", id, phase)
		}
	}
	return fmt.Errorf("job %s is %s after %v; see graph list", id, phase, wait)
}

func (c *cli) listGraphs(id string, limit int) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Jobs(id, limit)
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "JOB\tQUEUE\tPHASE\tTASKS\tDONE\tPLACED\tSTEPS\tWHY")
		for _, j := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", j.ID, j.Queue, j.Phase, j.Tasks, j.Done, j.Placed, j.Steps, j.FailureReason)
		}
	})
}

func (c *cli) listWorkers() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.Workers()
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WORKER\tAGENT\tSERVICE\tDATA CENTRE\tMILLI CPU\tHELD\tFILLING\tRUNS\tDRAINING")
		for _, x := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\n", x.ID, x.Agent, x.Service, x.DataCentre, x.Capacity.MilliCPU, x.Held.MilliCPU, x.Filling, x.Runs, x.Draining)
		}
	})
}

func (c *cli) showQueues() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	cfg, err := client.Queues()
	if err != nil {
		return err
	}
	return c.show(cfg, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "VERSION\t%d\n", cfg.Version)
		fmt.Fprintln(w, "QUEUE\tHOST\tPREFIX\tSERVICE\tPRIORITY\tATTEMPTS\tSLACK\tTARGET MS")
		for _, q := range cfg.Queues {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%g\t%d\n", q.Name, q.Host, q.Prefix, q.Service, q.Priority, q.MaxAttempts, q.Slack, q.TargetMS)
		}
	})
}

func (c *cli) putQueues(file string) error {
	var cfg queues.Config
	if err := readFile(file, &cfg); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	return client.PutQueues(cfg)
}
