package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// pendingAfterACrash adds a worker of a kind that jobs wait for. It crashes when its first run-start
// arrives, before any task has begun.
func pendingAfterACrash(r *rig) (breaks []string, err error) {
	const (
		workers = 8
		waiting = 4
		watched = 20 * time.Second
	)
	if err := r.startSystem(workers, config(1)); err != nil {
		return nil, err
	}
	h := &history{}
	for i := range workers - 1 {
		w, err := startWorker(r, h, i, service, "a", nil)
		if err != nil {
			return nil, err
		}
		defer w.end(howGone, "the case has ended")
	}
	time.Sleep(4 * time.Second)
	accepted := make(map[string]time.Time)
	for range waiting {
		id := newID()
		job := map[string]any{"Spec": "ms=60000&cpu=2000&mem=2000", "Phases": []any{map[string]any{"Count": 2, "Cpu": 2000, "MemMb": 2000, "EstimatedMs": 60000, "RequiredLabel": "b"}}}
		if err := r.submit(batchPrefix, id, job); err != nil {
			return nil, err
		}
		accepted[id] = time.Now()
	}
	time.Sleep(visibleTime + 3*time.Second)
	if n, err := r.pending(batchPrefix); err != nil || n != waiting {
		return nil, fmt.Errorf("%w: Pending is %d before the worker is added: %v", errCouldNotRun, n, err)
	}
	r.note("client: Pending is %d", waiting)
	var crashed atomic.Bool
	w, err := startWorker(r, h, workers-1, service, "b", func(w *worker) bool {
		if !r.trouble {
			return true
		}
		if !crashed.Swap(true) {
			w.loseContact("it has crashed as its first run-start arrived")
		}
		return false
	})
	if err != nil {
		return nil, err
	}
	defer w.end(howGone, "the case has ended")
	type look struct {
		asked, answered time.Time
		pending         int
	}
	var looks []look
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		l := look{asked: time.Now()}
		if l.pending, err = r.pending(batchPrefix); err != nil {
			r.note("client: no length of the queue: %v", err)
			continue
		}
		l.answered = time.Now()
		r.note("client: Pending is %d", l.pending)
		looks = append(looks, l)
	}
	time.Sleep(startSlack)
	for _, l := range looks {
		due := 0
		for id, at := range accepted {
			if l.asked.Sub(at) > visibleTime+2*time.Second && !h.begunBy(id, l.answered.Add(startSlack)) {
				due++
			}
		}
		if 2*l.pending < due {
			breaks = append(breaks, fmt.Sprintf("MIXED: Pending is %d %d ms after the worker was added, of %d jobs accepted more than 5 s before no task has begun", l.pending, l.answered.Sub(w.born).Milliseconds(), due))
		}
	}
	return breaks, nil
}

// startSlack is how long after an answer a job may still begin without being counted as one that hasn't.
const startSlack = time.Second

// begunBy reports whether a task of a job has begun on any worker by a time.
func (h *history) begunBy(job string, by time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.starts {
		if s.key.task[:len(job)] == job && s.at.Before(by) {
			return true
		}
	}
	return false
}

// begun reports whether a task of a job has begun on any worker.
func (h *history) begun(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.starts {
		if s.key.task[:len(job)] == job {
			return true
		}
	}
	return false
}
