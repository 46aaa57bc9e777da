package main

import (
	"fmt"
	"time"
)

// lateCall is a call that a worker has left unanswered and carries out later.
type lateCall struct {
	path string
	q    request
}

// startAgain starts the worker's machine again: a new life under the same id, which knows nothing of before.
func (w *worker) startAgain() (*worker, error) {
	next := newWorker(w.r, w.history, w.number-firstAgent, w.service, w.kind, nil)
	next.id, next.keepsID, next.life = w.id, true, w.id+"/2"
	return next, next.begin()
}

// carryOut carries out a late call, unless a later one has had a higher token.
func (w *worker) carryOut(c *lateCall) {
	w.mu.Lock()
	if c.q.FencingToken < w.token {
		w.mu.Unlock()
		w.r.note("worker %s: late call %s has a lower token: nothing is done", w.life, c.path)
		return
	}
	w.token = c.q.FencingToken
	w.mu.Unlock()
	w.r.note("worker %s: carries out late call %s of %s %d, AckCursor %d", w.life, c.path, c.q.Task, c.q.Run, c.q.AckCursor)
	c.q.WaitMs = 0
	w.handlers[c.path](&c.q)
}

// lateListOnANewLife has a worker leave two calls unanswered, the start of a job's second step and the list
// that acknowledges the end of its first, and carry them out after it has started again under its id, while
// its agent is away.
func lateListOnANewLife(r *rig) (breaks []string, err error) {
	const (
		workers   = 3
		workTime  = 300 * time.Millisecond
		gapTime   = 1400 * time.Millisecond // until the worker is up again
		startLate = 2500 * time.Millisecond // after the calls
		listLate  = 3200 * time.Millisecond
		agentDark = 3900 * time.Millisecond
	)
	if err := r.startSystem(workers, config(1)); err != nil {
		return nil, err
	}
	h := &history{}
	for i := range workers {
		w := newWorker(r, h, i, service, map[bool]string{true: "b", false: "a"}[i == 0], nil)
		w.keepsID = true
		if i > 0 || !r.trouble {
			if err := w.begin(); err != nil {
				return nil, err
			}
			defer w.end(howGone, "the case has ended")
			continue
		}
		calls := make(map[string]*lateCall)
		both := make(chan struct{})
		w.life += "/1"
		w.late = func(path string, q *request) bool {
			if (path != pathStart || len(w.finished) == 0) && (path != pathHold || q.AckCursor == 0) {
				return false
			}
			if calls[path] == nil {
				r.note("worker %s: leaves %s of %s %d, AckCursor %d, unanswered", w.life, path, q.Task, q.Run, q.AckCursor)
				calls[path] = &lateCall{path, *q}
				if len(calls) == 2 {
					close(both)
				}
			}
			return true
		}
		if err := w.begin(); err != nil {
			return nil, err
		}
		go func() {
			<-both
			at := time.Now()
			w.end(howGone, "it goes down")
			r.kill(agentName(i))
			time.Sleep(time.Until(at.Add(gapTime)))
			next, err := w.startAgain()
			if err != nil {
				r.note("%v", err)
				return
			}
			time.Sleep(time.Until(at.Add(startLate)))
			next.carryOut(calls[pathStart])
			time.Sleep(time.Until(at.Add(listLate)))
			next.carryOut(calls[pathHold])
			time.Sleep(time.Until(at.Add(agentDark)))
			if err := r.restart(agentName(i)); err != nil {
				r.note("%v", err)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	id := newID()
	step := func(after ...int) map[string]any {
		return map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimatedMs": workTime.Milliseconds(), "RequiredLabel": "b", "DependsOn": append([]int{}, after...)}
	}
	spec := fmt.Sprintf("ms=%d&cpu=1000&mem=1000", workTime.Milliseconds())
	if err := r.submit(batchPrefix, id, map[string]any{"Spec": spec, "Phases": []any{step(), step(0)}}); err != nil {
		return nil, err
	}
	time.Sleep(20 * time.Second)
	return h.startsAfterDone(), nil
}
