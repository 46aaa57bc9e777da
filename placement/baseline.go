package placement

import (
	"math/rand/v2"

	"github.com/waxwinghaven/waxwinghaven/lease"
)

// FirstFit is a baseline policy: it places each task on the first worker with enough capacity, in
// the same order and within the same batch share as Learned, without regard to interference.
type FirstFit struct{}

// Name returns the policy's name as the score tool prints it.
func (FirstFit) Name() string { return "first-fit" }

// Plan implements Policy.
func (FirstFit) Plan(s *Snapshot) Decision { return simplePlan(s, func(n int) int { return 0 }) }

// Random is a baseline policy: it places each task on a random worker with enough capacity.
type Random struct{}

// Name returns the policy's name as the score tool prints it.
func (Random) Name() string { return "random" }

// Plan implements Policy.
func (Random) Plan(s *Snapshot) Decision {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	return simplePlan(s, rng.IntN)
}

// Reactive is a baseline policy: first fit, plus an eviction wherever a service was late in the
// last report.
type Reactive struct{}

// Name returns the policy's name as the score tool prints it.
func (Reactive) Name() string { return "reactive" }

// Plan implements Policy.
func (Reactive) Plan(s *Snapshot) Decision {
	p := simplePlan(s, func(n int) int { return 0 })
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Slowdown <= w.Preset.MaxSlowdown || w.Service == "" {
			continue
		}
		if r, ok := newest(w); ok {
			p.Evictions = append(p.Evictions, lease.Eviction{Task: r.Task, Attempt: r.Attempt})
		}
	}
	return p
}

// newest returns the evictable attempt that started last, the most likely cause of a slowdown for
// a policy without a cost model.
func newest(w *Worker) (Running, bool) {
	best, ok := Running{}, false
	for _, r := range w.Running {
		if r.Evictable && !r.Urgent && (!ok || r.Started > best.Started) {
			best, ok = r, true
		}
	}
	return best, ok
}

// simplePlan places each task on the first worker with enough capacity, searching from the index
// that start returns for n workers.
func simplePlan(s *Snapshot, start func(n int) int) Decision {
	p := newPlanner(s)
	for _, t := range byUrgency(s) {
		if len(p.plan.Placements) >= s.MaxPlacements || len(p.open) == 0 {
			break
		}
		if p.neverFits(t.Need) {
			p.setAside(t)
			continue
		}
		if p.withinQuota(t) {
			p.takeFirst(t, start(len(p.open)))
		}
	}
	return p.plan
}

func (p *planner) takeFirst(t *lease.Task, from int) {
	for k := range p.open {
		i := p.open[(from+k)%len(p.open)]
		w := &p.workers[i]
		if t.Need.Fits(w.Free) && p.withinShare(t, w) {
			p.take(t, i)
			return
		}
	}
	if t.Urgent {
		p.preemptFor(t)
	}
}
