package dispatch

import "container/heap"

// ranking orders the workers that may have a task of a step by what that costs, for tasks that
// are alike. A task that is placed changes its own worker only, so each next one takes a look at
// that worker and not at all of them: steps have dozens of tasks, and fleets thousands of workers.
type ranking struct {
	p        *planner
	r        request
	onWorker map[string]int
	test     func(*candidate) bool // nil for all

	running bool // whether the job had something at work when it was built
	built   bool
	best    ranks
}

// ranked is a worker with its cost and its place among all, which decides between equal costs.
type ranked struct {
	cost  float64
	place int
	c     *candidate
}

// next returns the best worker, nil for none. It is the one that choose would return.
func (k *ranking) next(running bool) *candidate {
	// Only filling work is let in differently while its job has nothing at work.
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
	all := k.p.workers[k.r.queue.Service]
	k.best = make(ranks, 0, len(all))
	for place, c := range all {
		if c.looking || (k.test != nil && !k.test(c)) || !k.p.takes(c, k.r, k.onWorker, running) {
			continue
		}
		k.best = append(k.best, ranked{k.p.cost(c, k.r.group.Step(), nil), place, c})
	}
	heap.Init(&k.best)
}

// took says that the best worker has been given a task.
func (k *ranking) took() {
	top := &k.best[0]
	if !k.p.takes(top.c, k.r, k.onWorker, k.running) {
		heap.Pop(&k.best)
		return
	}
	top.cost = k.p.cost(top.c, k.r.group.Step(), nil)
	heap.Fix(&k.best, 0)
}

// ranks is a heap with the best worker first.
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
