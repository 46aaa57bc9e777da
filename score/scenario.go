// Package score compares placement policies over a day in virtual time, on the
// same seeds: service latency against running alone, batch work, deadlines,
// evictions. The world is a few numbers per worker, behind the same snapshot
// and plan that the control uses; it is no cluster simulator.
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
	second  = int64(1000) // milliseconds
	minute  = 60 * second
	hour    = 60 * minute
	step    = 10 * second
	dayLong = 24 * hour
)

// kind is a job with what the policies do not know: its true cost to the service
// beside it and its true run time.
type kind struct {
	job      market.Job
	cost     [interference.Bands]float64 // logarithm of the slowdown of one task, by load
	trueTime int64                       // milliseconds
	noisy    bool
	never    bool // asks for more than any worker has
}

// arrival is a submission on its way.
type arrival struct {
	at    int64
	kind  *kind
	count int
}

// scenario is one deployment's day, drawn from a seed.
type scenario struct {
	name     string
	workers  int
	capacity resource.Vector
	kept     int64 // milli CPU that the service keeps
	racks    int
	centres  int
	peak     [2]int64 // hours of the busiest time
	kinds    []*kind
	arrivals []arrival
	presets  []presetAt
	failing  window // a worker that fails everything
	lost     []window
	cancels  []arrival
}

type presetAt struct {
	at     int64
	preset market.Preset
}

// window is a time in which something is wrong with one worker.
type window struct {
	worker   int
	from, to int64
}

func (w window) holds(i int, now int64) bool { return w.worker == i && now >= w.from && now < w.to }

// The presets of the two deployments. The Guild weighs throughput, the
// Cooperative tail latency.
var (
	throughput = market.Preset{Name: "overnight", TailWeight: 0.1, BatchShare: 1, MaxSlowdown: 1.5, Explore: true}
	ordinary   = market.Preset{Name: "day", TailWeight: 0.6, BatchShare: 0.7, MaxSlowdown: 1.25}
	latency    = market.Preset{Name: "peak", TailWeight: 1, BatchShare: 0.4, MaxSlowdown: 1.1}
)

func guild(rng *rand.Rand) *scenario {
	s := &scenario{name: "guild", workers: 11, capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 2},
		kept: 12_000, racks: 4, centres: 4, peak: [2]int64{9, 17}}
	s.presets = []presetAt{{0, throughput}, {7 * hour, ordinary}, {10 * hour, latency}, {16 * hour, ordinary}, {19 * hour, throughput}}
	s.draw(rng, 7, 3*hour)
	return s
}

func cooperative(rng *rand.Rand) *scenario {
	s := &scenario{name: "cooperative", workers: 11, capacity: resource.Vector{MilliCPU: 32_000, MemoryMB: 125_000},
		kept: 8_000, racks: 4, centres: 3, peak: [2]int64{16, 21}}
	s.presets = []presetAt{{0, ordinary}, {15 * hour, latency}, {22 * hour, ordinary}}
	s.draw(rng, 6, 2*hour)
	return s
}

// draw makes the kinds, their arrivals and the failures of the day.
func (s *scenario) draw(rng *rand.Rand, kinds int, slack int64) {
	for i := range kinds {
		s.kinds = append(s.kinds, drawKind(rng, i, slack))
	}
	s.drawArrivals(rng)
	s.drawFailures(rng)
	never := drawKind(rng, 90, slack)
	never.never, never.job.MilliCPU = true, s.capacity.MilliCPU*2
	s.kinds = append(s.kinds, never)
	s.arrivals = append(s.arrivals, arrival{hour, never, 20})
	urgent := drawKind(rng, 91, 0)
	urgent.job.Urgent, urgent.job.MilliCPU, urgent.trueTime, urgent.noisy = true, 4000, 2*minute, false
	urgent.cost = [interference.Bands]float64{}
	s.kinds = append(s.kinds, urgent)
	for range 60 {
		s.arrivals = append(s.arrivals, arrival{rng.Int64N(dayLong-2*hour) / step * step, urgent, 1})
	}
}

// drawKind draws a job. Most kinds are harmless, some are noisy, and what is
// declared of the run time is off by up to five times either way.
func drawKind(rng *rand.Rand, i int, slack int64) *kind {
	declared := (5 + rng.Int64N(40)) * minute
	off := math.Exp((rng.Float64()*2 - 1) * math.Log(5))
	k := &kind{noisy: i%3 == 1, trueTime: max(int64(float64(declared)*off), minute)}
	k.job = market.Job{Name: fmt.Sprint("job-", i), Team: "team", Class: market.ClassBatch, RunTimeMS: declared,
		MilliCPU: 1000 * (1 + rng.Int64N(4)), MemoryMB: 1000 * (1 + rng.Int64N(4))}
	if slack > 0 {
		k.job.DeadlineMS = k.trueTime + slack + rng.Int64N(3*hour)
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

// drawArrivals spreads each kind over the day, with one wave of a noisy kind.
func (s *scenario) drawArrivals(rng *rand.Rand) {
	room := float64(s.workers) * float64(s.capacity.MilliCPU-s.kept) * 24 * float64(hour)
	for _, k := range s.kinds {
		work := room * loadFactor / float64(len(s.kinds))
		total := int(work / float64(k.job.MilliCPU) / float64(k.trueTime))
		for total > 0 {
			n := min(total, 1+rng.IntN(30))
			at := rng.Int64N(dayLong-k.job.DeadlineMS/2-4*hour) / step * step
			s.arrivals = append(s.arrivals, arrival{at, k, n})
			total -= n
		}
	}
	wave := s.kinds[1]
	s.arrivals = append(s.arrivals, arrival{(s.peak[0] + 1) * hour, wave, 60})
	s.cancels = append(s.cancels, arrival{(s.peak[0] + 2) * hour, s.kinds[2], 0}, arrival{20 * hour, s.kinds[0], 0})
}

// loadFactor is the part of the day's processors that the batch work asks for.
const loadFactor = 0.35

func (s *scenario) drawFailures(rng *rand.Rand) {
	from := (6 + rng.Int64N(6)) * hour
	s.failing = window{rng.IntN(s.workers), from, from + 2*hour}
	for range 2 {
		from := rng.Int64N(20) * hour
		s.lost = append(s.lost, window{rng.IntN(s.workers), from, from + 30*minute})
	}
}

// load is the used part of the service's slots at a time of day.
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
