package load

import (
	"fmt"
	"io"
	"strings"
)

// Comparison holds the medians of one target's runs.
type Comparison struct {
	Name      string  `json:"name"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p99_9_ms"`
	PerSecond float64 `json:"per_second"`
	NotDone   int     `json:"not_done"` // over all runs
}

// Compare runs the same load against several targets, written name=address, in
// turn, so that other load on the machine affects all of them alike.
func Compare(o Options, targets []string, rounds int) ([]Comparison, error) {
	results := make([][]Result, len(targets))
	for range rounds {
		for i, t := range targets {
			_, addrs, ok := strings.Cut(t, "=")
			if !ok {
				return nil, fmt.Errorf("load: %q is not name=address", t)
			}
			o.Addresses = strings.Split(addrs, ",")
			res, err := Run(o)
			if err != nil {
				return nil, err
			}
			results[i] = append(results[i], res)
		}
	}
	out := make([]Comparison, len(targets))
	for i, t := range targets {
		name, _, _ := strings.Cut(t, "=")
		out[i] = summary(name, results[i])
	}
	return out, nil
}

func summary(name string, runs []Result) Comparison {
	median := func(f func(Result) float64) float64 {
		var list []float64
		for _, r := range runs {
			list = append(list, f(r))
		}
		return Quantile(list, 0.5)
	}
	c := Comparison{Name: name, P50: median(func(r Result) float64 { return r.P50 }), P99: median(func(r Result) float64 { return r.P99 }),
		P999: median(func(r Result) float64 { return r.P999 }), PerSecond: median(func(r Result) float64 { return r.PerSecond })}
	for _, r := range runs {
		c.NotDone += r.Requests - r.Outcomes["done"]
	}
	return c
}

// WriteComparison writes a comparison as a tab-separated table.
func WriteComparison(w io.Writer, list []Comparison) {
	fmt.Fprintln(w, "TARGET\tP50 MS\tP99 MS\tP99.9 MS\tDONE/S\tP50 ADDED\tTHROUGHPUT\tNOT DONE")
	for _, c := range list {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.0f\t%+.3f\t%.0f%%\t%d\n", c.Name, c.P50, c.P99, c.P999, c.PerSecond,
			c.P50-list[0].P50, 100*c.PerSecond/list[0].PerSecond, c.NotDone)
	}
}
