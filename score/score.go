package score

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"

	"github.com/waxwinghaven/waxwinghaven/placement"
	"golang.org/x/sync/errgroup"
)

// Row is the result of one policy on one deployment. Latencies and core hours are averaged over the
// seeds, task, deadline, eviction and throttle counts are summed, and Urgent is the maximum.
type Row struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	P99        float64 `json:"p99_against_alone"`
	P999       float64 `json:"p99_9_against_alone"`
	// PeakP99 is the 99th percentile while the preset weighs tail latency only.
	PeakP99   float64 `json:"peak_p99_against_alone"`
	DoneHours float64 `json:"batch_core_hours"`
	Tasks     int     `json:"tasks"`
	Done      int     `json:"done"`
	Deadlines int     `json:"deadlines"`
	Met       int     `json:"deadlines_met"`
	// BatchDeadlines counts the deadlines at times when the preset favours throughput, BatchMet
	// those of them that were met.
	BatchDeadlines int     `json:"batch_deadlines"`
	BatchMet       int     `json:"batch_deadlines_met"`
	Evictions      int     `json:"evictions"`
	Throttles      int     `json:"throttles"`
	LostHours      float64 `json:"lost_core_hours"`
	Urgent         float64 `json:"longest_urgent_start_s"`
}

// candidate is a policy under comparison. With learned set, the cost model learns from measurements
// and failing workers are quarantined; with oracle set, the policy gets the true costs, run times
// and loads instead.
type candidate struct {
	name    string
	policy  placement.Policy
	oracle  bool
	learned bool
}

func candidates() []candidate {
	return []candidate{
		{name: "first-fit", policy: placement.FirstFit{}},
		{name: "random", policy: placement.Random{}},
		{name: "reactive", policy: placement.Reactive{}},
		{name: "learned", policy: placement.Learned{}, learned: true},
		{name: "oracle", policy: placement.Learned{}, learned: true, oracle: true},
	}
}

// The seeds for tuning parameters and for the reported table are disjoint, so that parameters are
// not fitted to the reported results.
var (
	TuningSeeds = []uint64{101, 102, 103}
	ReportSeeds = []uint64{201, 202, 203}
)

// Run simulates all policies on both deployments with each seed and returns one row for each pair of
// deployment and policy.
func Run(seeds []uint64) ([]Row, error) {
	draw := []func(*rand.Rand) *scenario{guild, cooperative}
	list := candidates()
	rows := make([][]Row, len(draw)*len(list))
	for i := range rows {
		rows[i] = make([]Row, len(seeds))
	}
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for d := range draw {
		for p := range list {
			for n, seed := range seeds {
				g.Go(func() error {
					s := draw[d](rand.New(rand.NewPCG(seed, uint64(d))))
					rows[d*len(list)+p][n] = newWorld(s, list[p], seed).run()
					return nil
				})
			}
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	out := make([]Row, len(rows))
	for i := range rows {
		out[i] = average(rows[i])
	}
	return out, nil
}

func average(rows []Row) Row {
	out := Row{Deployment: rows[0].Deployment, Policy: rows[0].Policy}
	n := float64(len(rows))
	for _, r := range rows {
		out.P99 += r.P99 / n
		out.P999 += r.P999 / n
		out.PeakP99 += r.PeakP99 / n
		out.DoneHours += r.DoneHours / n
		out.LostHours += r.LostHours / n
		out.Urgent = math.Max(out.Urgent, r.Urgent)
		out.Tasks += r.Tasks
		out.Done += r.Done
		out.Deadlines += r.Deadlines
		out.Met += r.Met
		out.BatchDeadlines += r.BatchDeadlines
		out.BatchMet += r.BatchMet
		out.Evictions += r.Evictions
		out.Throttles += r.Throttles
	}
	return out
}

// latencySigma is the standard deviation of the logarithm of a service's latencies when it runs
// alone; they are lognormal.
const latencySigma = 0.5

// samplesPerBucket sets the resolution of the latency distribution: each slowdown bucket is
// represented by 50 times as many points.
const samplesPerBucket = 40

// relativeQuantile returns the q-quantile of the latency of all requests, relative to the same
// quantile when the service runs alone.
func relativeQuantile(list []weightedSlowdown, q float64) float64 {
	type point struct{ latency, requests float64 }
	buckets := make(map[int]float64) // requests by the logarithm of the slowdown, in hundredths
	for _, w := range list {
		buckets[int(math.Round(math.Log(w.slowdown)*100))] += w.requests
	}
	var points []point
	total := 0.0
	for _, b := range slices.Sorted(maps.Keys(buckets)) {
		requests := buckets[b]
		for i := range samplesPerBucket * 50 {
			z := quantileOfNormal((float64(i) + 0.5) / (samplesPerBucket * 50))
			points = append(points, point{math.Exp(float64(b)/100 + latencySigma*z), requests})
			total += requests
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].latency < points[j].latency })
	left := (1 - q) * total
	for i := len(points) - 1; i >= 0; i-- {
		if left -= points[i].requests; left <= 0 {
			return points[i].latency / math.Exp(latencySigma*quantileOfNormal(q))
		}
	}
	return 1
}

func quantileOfNormal(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }

// WriteTable writes the rows as a tab-separated table. OF ORACLE is the batch work done relative to
// the oracle on the same deployment.
func WriteTable(w io.Writer, rows []Row) {
	fmt.Fprintln(w, "DEPLOYMENT\tPOLICY\tPEAK P99\tDAY P99\tDAY P99.9\tBATCH CORE H\tOF ORACLE\tMISSED\tMISSED IN BATCH TIME\tEVICTIONS\tTHROTTLES\tLOST CORE H\tURGENT START S")
	oracleHours := make(map[string]float64)
	for _, r := range rows {
		if r.Policy == "oracle" {
			oracleHours[r.Deployment] = r.DoneHours
		}
	}
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f%%\t%d of %d\t%d of %d\t%d\t%d\t%.1f\t%.1f\n", r.Deployment, r.Policy, r.PeakP99, r.P99, r.P999, r.DoneHours,
			100*r.DoneHours/oracleHours[r.Deployment], r.Deadlines-r.Met, r.Deadlines, r.BatchDeadlines-r.BatchMet, r.BatchDeadlines, r.Evictions, r.Throttles, r.LostHours, r.Urgent)
	}
}
