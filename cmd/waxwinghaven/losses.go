package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/losses"
)

// lossesCommand adds the command that accounts for lost service from the processes' logs.
func (c *cli) lossesCommand() {
	cmd := c.app.Command("losses", "Accounts for lost service from the logs of all processes: for standing tasks the time over their target or not running, for other jobs where their time went.")
	files := cmd.Arg("file", "Logs as the processes wrote them; each line may have a prefix.").Required().ExistingFiles()
	job := cmd.Flag("job", "Only this job, by its id.").String()
	path := cmd.Flag("path", "Print the latency of each stage of a call and its tasks instead.").Bool()
	plot := cmd.Flag("plot", "With --path: also draw it, as an SVG file.").String()
	windows := cmd.Flag("windows", "Also print the time over target in windows of two seconds.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		var l losses.Log
		for _, name := range *files {
			if err := readLog(&l, name); err != nil {
				return err
			}
		}
		a := l.Accounts()
		if *job != "" {
			return printJob(a, *job)
		}
		if *path {
			printPath(os.Stdout, a.Path)
			if *plot == "" {
				return nil
			}
			return plotPath(a.Path, *plot)
		}
		printSums(os.Stdout, a)
		if *windows {
			printWindows(os.Stdout, a)
		}
		return nil
	})
}

func readLog(l *losses.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return l.Read(name, f)
}

func printSums(out io.Writer, a *losses.Account) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "KIND\tCAUSE\tLOST S\tJOBS")
	for _, s := range a.Sums() {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\n", s.Kind, s.Cause, s.Lost.Seconds(), s.Jobs)
	}
	for _, kind := range []losses.Kind{losses.Filling, losses.Other} {
		n, worked, took := 0, time.Duration(0), time.Duration(0)
		for _, j := range a.Jobs {
			if j.Kind == kind && j.Finished {
				n, worked, took = n+1, worked+j.Worked, took+j.Took
			}
		}
		if n > 0 {
			fmt.Fprintf(w, "%s\tdone: %d, of the way of each\t%.2f\tworked %.2f\n", kind, n, took.Seconds()/float64(n), worked.Seconds()/float64(n))
		}
	}
}

func printWindows(out io.Writer, a *losses.Account) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "FROM S\tTASK-SECONDS OVER TARGET")
	for _, k := range slices.Sorted(maps.Keys(a.OverTarget)) {
		fmt.Fprintf(w, "%.0f\t%.1f\n", (time.Duration(k) * losses.Window).Seconds(), a.OverTarget[k].Seconds())
	}
}

func printJob(a *losses.Account, id string) error {
	j := a.Job(id)
	if j == nil {
		return fmt.Errorf("the logs have no line for the acceptance of job %s; give the logs of all control replicas", id)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%s\t%s, accepted %s\n", j.ID, j.Kind, j.Arrived.Format(time.RFC3339Nano))
	if j.Finished {
		fmt.Fprintf(w, "took\t%.2f s\nworked\t%.2f s\n", j.Took.Seconds(), j.Worked.Seconds())
	}
	for _, cause := range slices.Sorted(maps.Keys(j.Lost)) {
		if d := j.Lost[cause]; d > 0 {
			fmt.Fprintf(w, "%s\t%.2f s\n", cause, d.Seconds())
		}
	}
	return nil
}
