// Package score compares placement policies over a simulated day, on the same seeds, by service
// latency relative to running alone, batch work done, deadlines met and evictions. The policies get
// the same snapshots and return the same plans as in the control. The simulation models a worker by
// a few numbers only: it is not a full cluster simulator.
package score

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/waxwinghaven/waxwinghaven/interference"
	"github.com/waxwinghaven/waxwinghaven/market"
	"github.com/waxwinghaven/waxwinghaven/resource"
)

const (
	second    = int64(1000) // milliseconds
	minute    = 60 * second
	hour      = 60 * minute
	step      = 10 * second
	dayLength = 24 * hour
)

// kind is a job with properties that the policies cannot see: its true cost to the service on the
// same worker and its true run time.
type kind struct {
	job         market.Job
	cost        [interference.Bands]float64 // log of the slowdown by one task, by load band
	trueRunTime int64                       // milliseconds
	noisy       bool
	tooLarge    bool // needs more than any worker has
}

// arrival is a submission of count tasks at a time in milliseconds. In scenario.cancels it is the
// cancellation of a job.
type arrival struct {
	at    int64
	kind  *kind
	count int
}

// scenario is one day of a deployment, generated from a seed.
type scenario struct {
	name        string
	workers     int
	capacity    resource.Vector
	reservedCPU int64 // reserved for the service, in thousandths of a processor
	racks       int
	centres     int
	peak        [2]int64 // first and last hour of the peak
	kinds       []*kind
	arrivals    []arrival
	presets     []presetAt
	failing     window   // one worker fails every task
	outages     []window // each loses one worker
	cancels     []arrival
}

type presetAt struct {
	at     int64
	preset market.Preset
}

// window is a time interval, in milliseconds, in which one worker is faulty.
type window struct {
	worker   int
	from, to int64
}

func (w window) covers(i int, now int64) bool { return w.worker == i && now >= w.from && now < w.to }

// The presets of the two deployments. The Guild weighs throughput more, the Cooperative tail
// latency.
var (
	throughput = market.Preset{Name: "overnight", TailWeight: 0.1, BatchShare: 1, MaxSlowdown: 1.5, Explore: true}
	ordinary   = market.Preset{Name: "day", TailWeight: 0.6, BatchShare: 0.7, MaxSlowdown: 1.25}
	latency    = market.Preset{Name: "peak", TailWeight: 1, BatchShare: 0.4, MaxSlowdown: 1.1}
)

func guild(rng *rand.Rand) *scenario {
	s := &scenario{name: "guild", workers: 11, capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 2},
		reservedCPU: 12_000, racks: 4, centres: 4, peak: [2]int64{9, 17}}
	s.presets = []presetAt{{0, throughput}, {7 * hour, ordinary}, {10 * hour, latency}, {16 * hour, ordinary}, {19 * hour, throughput}}
	s.draw(rng, 7, 3*hour)
	return s
}

func cooperative(rng *rand.Rand) *scenario {
	s := &scenario{name: "cooperative", workers: 11, capacity: resource.Vector{MilliCPU: 32_000, MemoryMB: 125_000},
		reservedCPU: 8_000, racks: 4, centres: 3, peak: [2]int64{16, 21}}
	s.presets = []presetAt{{0, ordinary}, {15 * hour, latency}, {22 * hour, ordinary}}
	s.draw(rng, 6, 2*hour)
	return s
}

// draw generates the kinds, their arrivals and the failures of the day. slack is the least time, in
// milliseconds, that a deadline leaves beyond the run time; 0 means no deadlines.
func (s *scenario) draw(rng *rand.Rand, kinds int, slack int64) {
	for i := range kinds {
		s.kinds = append(s.kinds, drawKind(rng, i, slack))
	}
	s.drawArrivals(rng)
	s.drawFailures(rng)
	tooLarge := drawKind(rng, 90, slack)
	tooLarge.tooLarge, tooLarge.job.MilliCPU = true, s.capacity.MilliCPU*2
	s.kinds = append(s.kinds, tooLarge)
	s.arrivals = append(s.arrivals, arrival{hour, tooLarge, 20})
	urgent := drawKind(rng, 91, 0)
	urgent.job.Urgent, urgent.job.MilliCPU, urgent.trueRunTime, urgent.noisy = true, 4000, 2*minute, false
	urgent.cost = [interference.Bands]float64{}
	s.kinds = append(s.kinds, urgent)
	for range 60 {
		s.arrivals = append(s.arrivals, arrival{rng.Int64N(dayLength-2*hour) / step * step, urgent, 1})
	}
}

// drawKind generates a job. One kind in three is noisy and slows the service down clearly; the
// others hardly do. The declared run time is off by a factor of up to five in either direction.
func drawKind(rng *rand.Rand, i int, slack int64) *kind {
	declared := (5 + rng.Int64N(40)) * minute
	off := math.Exp((rng.Float64()*2 - 1) * math.Log(5))
	k := &kind{noisy: i%3 == 1, trueRunTime: max(int64(float64(declared)*off), minute)}
	k.job = market.Job{Name: fmt.Sprint("job-", i), Team: "team", Class: market.ClassBatch, RunTimeMS: declared,
		MilliCPU: 1000 * (1 + rng.Int64N(4)), MemoryMB: 1000 * (1 + rng.Int64N(4))}
	if slack > 0 {
		k.job.DeadlineMS = k.trueRunTime + slack + rng.Int64N(3*hour)
	}
	base := 0.001 + 0.003*rng.Float64()
	if k.noisy {
		base = 0.03 + 0.06*rng.Float64()
	}
	for b := range k.cost {
		k.cost[b] = base * (0.4 + 0.5*float64(b))
	}
	return k
}

// drawArrivals spreads the tasks of each kind over the day, and adds a wave of 60 tasks of a noisy
// kind one hour into the peak and two cancellations.
func (s *scenario) drawArrivals(rng *rand.Rand) {
	capacity := float64(s.workers) * float64(s.capacity.MilliCPU-s.reservedCPU) * 24 * float64(hour)
	for _, k := range s.kinds {
		work := capacity * loadFactor / float64(len(s.kinds))
		total := int(work / float64(k.job.MilliCPU) / float64(k.trueRunTime))
		for total > 0 {
			n := min(total, 1+rng.IntN(30))
			at := rng.Int64N(dayLength-k.job.DeadlineMS/2-4*hour) / step * step
			s.arrivals = append(s.arrivals, arrival{at, k, n})
			total -= n
		}
	}
	wave := s.kinds[1]
	s.arrivals = append(s.arrivals, arrival{(s.peak[0] + 1) * hour, wave, 60})
	s.cancels = append(s.cancels, arrival{(s.peak[0] + 2) * hour, s.kinds[2], 0}, arrival{20 * hour, s.kinds[0], 0})
}

// loadFactor is the part of the day's free processor time that batch work requests.
const loadFactor = 0.35

func (s *scenario) drawFailures(rng *rand.Rand) {
	from := (6 + rng.Int64N(6)) * hour
	s.failing = window{rng.IntN(s.workers), from, from + 2*hour}
	for range 2 {
		from := rng.Int64N(20) * hour
		s.outages = append(s.outages, window{rng.IntN(s.workers), from, from + 30*minute})
	}
}

// load returns the used part of the service's slots at a time of day, 0 to 1.
func (s *scenario) load(now int64, rng *rand.Rand) float64 {
	h := float64(now) / float64(hour)
	mid, width := float64(s.peak[0]+s.peak[1])/2, float64(s.peak[1]-s.peak[0])/2
	x := (h - mid) / width
	return min(0.12+0.75*math.Exp(-x*x)+0.05*rng.Float64(), 0.99)
}

func (s *scenario) preset(now int64) market.Preset {
	p := s.presets[0].preset
	for _, at := range s.presets {
		if now >= at.at {
			p = at.preset
		}
	}
	return p
}
