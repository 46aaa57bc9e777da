package dispatch

import "container/heap"

// ranking orders the workers by the cost of placing a task of a step, for tasks that are
// interchangeable. Placing a task changes the cost of its worker only, so for the next task only
// that worker is evaluated again. Steps have dozens of tasks and fleets thousands of workers, so
// evaluating all workers for each task would be too slow.
type ranking struct {
	p        *planner
	r        request
	onWorker map[string]int
	test     func(*candidate) bool // nil for all

	running bool // whether the job had a running task when the ranking was built
	built   bool
	best    ranks
}

// ranked is a worker with its cost and its position among all workers, which breaks ties.
type ranked struct {
	cost  float64
	place int
	c     *candidate
}

// next returns the best worker, nil for none. It is the one that choose would return.
func (k *ranking) next(running bool) *candidate {
	// Whether the job has a running task affects only where filling tasks fit.
	if !k.built || (k.running != running && k.r.group.Step().Fills) {
		k.build(running)
	}
	if len(k.best) == 0 {
		return nil
	}
	return k.best[0].c
}

func (k *ranking) build(running bool) {
	k.built, k.running = true, running
	all := k.p.workersFor(k.r)
	k.best = make(ranks, 0, len(all))
	for place, c := range all {
		if c.isolated || (k.test != nil && !k.test(c)) || !k.p.takes(c, k.r, k.onWorker, running) {
			continue
		}
		k.best = append(k.best, ranked{k.p.cost(c, k.r.group.Step(), nil), place, c})
	}
	heap.Init(&k.best)
}

// updateBest evaluates the best worker again after it was given a task.
func (k *ranking) updateBest() {
	top := &k.best[0]
	if !k.p.takes(top.c, k.r, k.onWorker, k.running) {
		heap.Pop(&k.best)
		return
	}
	top.cost = k.p.cost(top.c, k.r.group.Step(), nil)
	heap.Fix(&k.best, 0)
}

// ranks is a heap with the cheapest worker first.
type ranks []ranked

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h ranks) Len() int { return len(h) }

func (h ranks) Less(i, j int) bool {
	if h[i].cost != h[j].cost {
		return h[i].cost < h[j].cost
	}
	return h[i].place < h[j].place
}

func (h ranks) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *ranks) Push(x any) { *h = append(*h, x.(ranked)) }

func (h *ranks) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
