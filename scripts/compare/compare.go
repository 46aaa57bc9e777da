package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Play identifies one play: a build on a day of a deployment, with a seed.
type Play struct {
	Build string `json:"build"`
	Site  string `json:"site"`
	Day   string `json:"day"`
	Seed  int    `json:"seed"`
}

// Result is the outcome of a play. Worth, served, windows and classes range from 0 to 1.
type Result struct {
	Play
	Worth   float64            `json:"worth"`
	Served  float64            `json:"served"`
	Windows float64            `json:"windows"`          // the score of the worst windows
	Classes map[string]float64 `json:"classes"`          // worth by class of request
	Asked   map[string]int     `json:"asked"`            // requests by class; for standing jobs, intervals of their time
	Broken  []string           `json:"broken,omitempty"` // rules that were violated, and a fault
}

// Difference compares a build with the base over the plays that exist for both.
type Difference struct {
	Site, Build string
	Pairs       int
	Base, Mean  float64            // worth
	Gain, Error float64            // of the worth, and its standard error
	Windows     float64            // gain of the worst windows
	Classes     map[string]float64 // gain by class of request
	// Asked is the ratio of the build's requests to the base's, by class. A standing job
	// that is refused is requested only once: where the ratio is below 1, less is served
	// than the worth suggests.
	Asked  map[string]float64
	Broken int // plays of the build with a violated rule
}

// Differences compares each build with the first, by site and, if there are several sites,
// over all of them under the name "all".
func Differences(builds []string, results []Result) []Difference {
	sites := sitesOf(results)
	var out []Difference
	for _, site := range sites {
		for _, b := range builds[1:] {
			out = append(out, difference(site, builds[0], b, results))
		}
	}
	if len(sites) > 1 {
		for _, b := range builds[1:] {
			out = append(out, difference("", builds[0], b, results))
		}
	}
	return out
}

func sitesOf(results []Result) (sites []string) {
	for _, r := range results {
		if !slices.Contains(sites, r.Site) {
			sites = append(sites, r.Site)
		}
	}
	slices.Sort(sites)
	return sites
}

// difference pairs the plays of two builds on one site, "" for all.
func difference(site, base, build string, results []Result) Difference {
	byPlay := make(map[Play]Result, len(results))
	for _, r := range results {
		byPlay[r.Play] = r
	}
	d := Difference{Site: site, Build: build, Classes: make(map[string]float64), Asked: make(map[string]float64)}
	if site == "" {
		d.Site = "all"
	}
	var baseWorth, worth, gains, windows []float64
	classes := make(map[string][]float64)
	askedBase, askedBuild := make(map[string]int), make(map[string]int)
	for _, r := range results {
		if r.Build != build || (site != "" && r.Site != site) {
			continue
		}
		key := r.Play
		key.Build = base
		b, ok := byPlay[key]
		if !ok {
			continue
		}
		baseWorth, worth = append(baseWorth, b.Worth), append(worth, r.Worth)
		gains = append(gains, r.Worth-b.Worth)
		windows = append(windows, r.Windows-b.Windows)
		for name, v := range r.Classes {
			classes[name] = append(classes[name], v-b.Classes[name])
			askedBase[name] += b.Asked[name]
			askedBuild[name] += r.Asked[name]
		}
		if len(r.Broken) > 0 {
			d.Broken++
		}
	}
	d.Pairs = len(gains)
	if d.Pairs == 0 {
		return d
	}
	d.Base, d.Mean, d.Windows = stat.Mean(baseWorth, nil), stat.Mean(worth, nil), stat.Mean(windows, nil)
	for name, list := range classes {
		d.Classes[name] = stat.Mean(list, nil)
		if askedBase[name] > 0 {
			d.Asked[name] = float64(askedBuild[name]) / float64(askedBase[name])
		}
	}
	mean, deviation := stat.MeanStdDev(gains, nil)
	d.Gain, d.Error = mean, stat.StdErr(deviation, float64(d.Pairs))
	if d.Pairs == 1 {
		d.Error = math.NaN()
	}
	return d
}

// writeTable writes differences as an aligned table.
func writeTable(w io.Writer, list []Difference) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SITE\tBUILD\tPAIRS\tBASE\tWORTH\tGAIN\tERROR\tWINDOWS\tBROKEN\tBY CLASS")
	for _, d := range list {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.3f\t%.3f\t%+.3f\t%.3f\t%+.3f\t%d\t%s\n", d.Site, d.Build, d.Pairs, d.Base, d.Mean, d.Gain, d.Error, d.Windows, d.Broken, classGains(&d))
	}
	t.Flush()
}

// classGains formats the gain by class of request, and the ratio of the requests to the base's.
func classGains(d *Difference) (out string) {
	for i, name := range slices.Sorted(maps.Keys(d.Classes)) {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%s %+.3f of %.2f", name, d.Classes[name], d.Asked[name])
	}
	return out
}

// writeRows writes differences as rows of a Markdown table.
func writeRows(w io.Writer, list []Difference) {
	for _, d := range list {
		fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %+.3f (%.3f, %d) |\n", d.Build, d.Site, d.Base, d.Mean, d.Gain, d.Error, d.Pairs)
	}
}
