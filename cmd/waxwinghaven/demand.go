package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/demand"
)

// demandCommand adds the command that shows what happens to the jobs of each queue.
func (c *cli) demandCommand() {
	top := c.app.Command("queue", "Shows what happens to the jobs of each queue.")
	cmd := top.Command("demand", "Shows arrivals, refusals, ends and the backlog of each queue, as seen by the leader.")
	cmd.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		a, err := client.Demand()
		if err != nil {
			return err
		}
		return c.show(a, func(w *tabwriter.Writer) { printDemand(w, &a) })
	})
}

func printDemand(w io.Writer, a *control.DemandAnswer) {
	fmt.Fprintf(w, "as seen by %s, which has led for %v\n\n", a.Leader, seconds(a.LedMS))
	fmt.Fprintln(w, "QUEUE\tPRIORITY\tLAST\tARRIVED\tACCEPTED\tREFUSED\tIN TIME\tLATE\tFAILED\tCANCELLED\tPROCESSORS")
	for i := range a.Queues {
		q := &a.Queues[i]
		printSummary(w, q.Queue, fmt.Sprint(q.Priority), &q.Summary)
	}
	if a.Others != nil {
		printSummary(w, demand.Other, "", a.Others)
	}
	fmt.Fprintln(w, "\nQUEUE\tSERVICE\tBACKLOG JOBS\tPROCESSOR SECONDS\tLONGEST WAIT\tA NEW JOB WAITS")
	for i := range a.Queues {
		q := &a.Queues[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%v\t%s\n", q.Queue, q.Service, q.BacklogJobs, q.BacklogProcessorSeconds, seconds(q.LongestWaitMS), expected(q.ExpectedWaitMS))
	}
}

func printSummary(w io.Writer, queue, priority string, s *demand.Summary) {
	for _, x := range []struct {
		last string
		*demand.Window
	}{{"10s", &s.Last10s}, {"60s", &s.Last60s}} {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%.1f\n", queue, priority, x.last, x.Arrived, x.Accepted, refusals(x.Window), x.InTime, x.Late, x.Failed, x.Cancelled, x.Processors)
	}
}

// refusals lists the refusals by reason.
func refusals(w *demand.Window) string {
	if len(w.Refused) == 0 {
		return "0"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(w.Refused)) {
		parts = append(parts, fmt.Sprintf("%d %s", w.Refused[reason], reason))
	}
	return strings.Join(parts, ", ")
}

// explainCommand adds the command that explains a caller's job.
func (c *cli) explainCommand(top *kingpin.CmdClause) {
	cmd := top.Command("explain", "Explains a caller's job: why it was refused, its class, what is served before it, and when it is expected to start and end.\n\nExample: waxwinghaven job explain a.example /renders/00000000000000aa")
	host := cmd.Arg("host", "The queue's host.").Required().String()
	path := cmd.Arg("path", "The queue's prefix and the job's id.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		e, err := client.ExplainJob(*host, *path)
		if err != nil {
			return err
		}
		return c.show(e, func(w *tabwriter.Writer) { printExplanation(w, &e) })
	})
}

func printExplanation(w io.Writer, e *control.JobExplanation) {
	fmt.Fprintf(w, "job\t%s\nqueue\t%s (service %s)\nphase\t%s\n", e.ID, e.Queue, e.Service, e.Phase)
	if e.FailureReason != "" {
		fmt.Fprintf(w, "why\t%s\n", e.FailureReason)
	}
	if v := e.Refused; v != nil {
		fmt.Fprintf(w, "refused\t%v ago, %s: %s\n", seconds(v.AgoMS), v.Reason, v.Message)
		fmt.Fprintf(w, "\ttold to return after %v; refusals so far: %d, the first %v ago\n", seconds(v.RetryAfterMS), v.Times, seconds(v.FirstAgoMS))
	}
	if e.Phase != "queued" && e.Phase != "running" {
		return
	}
	fmt.Fprintf(w, "accepted\t%v ago\n", seconds(e.AgeMS))
	if e.Class != "" {
		fmt.Fprintf(w, "class\t%s (objective %v)\n", e.Class, seconds(e.ObjectiveMS))
	}
	fmt.Fprintf(w, "tasks\t%d waiting, %d running\n", e.TasksWaiting, e.TasksRunning)
	fmt.Fprintf(w, "ahead\t%d jobs, %.1f processor seconds\n", e.JobsAhead, e.ProcessorSecondsAhead)
	fmt.Fprintf(w, "starts in\t%s\nends in\t%s", expected(e.StartInMS), expected(e.EndInMS))
	if e.EndInMS != nil && e.ObjectiveMS > 0 && e.AgeMS+*e.EndInMS > e.ObjectiveMS {
		fmt.Fprintf(w, ", %v after its objective", seconds(e.AgeMS+*e.EndInMS-e.ObjectiveMS))
	}
	fmt.Fprintln(w)
}

// expected formats an expected time, which may not be known.
func expected(ms *int64) string {
	if ms == nil {
		return "not known"
	}
	return seconds(*ms).String()
}

// seconds rounds a time to tenths of a second.
func seconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}
