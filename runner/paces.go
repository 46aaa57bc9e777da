package runner

import "sync"

// paceQueue keeps the pace calls of each run in order: one is in flight at a time, and the
// newest one queued meanwhile goes next. Calls on different connections overtake each other,
// so a run that was sent 60, 30 and 10 concurrently could stay at 60.
type paceQueue struct {
	mu sync.Mutex
	// runs has the runs with an active sender, and the call to send next, nil for none.
	runs map[runKey]*PaceCall
}

func newPaceQueue() *paceQueue { return &paceQueue{runs: make(map[runKey]*PaceCall)} }

// put queues a call and reports whether a sender has to be started for its run.
func (q *paceQueue) put(c PaceCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := runKey{c.Task, c.Run}
	_, sending := q.runs[key]
	q.runs[key] = &c
	return !sending
}

// next returns the call to send next for a run, false if there is none; the sender must then
// stop.
func (q *paceQueue) next(key runKey) (PaceCall, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.runs[key]
	if c == nil {
		delete(q.runs, key)
		return PaceCall{}, false
	}
	q.runs[key] = nil
	return *c, true
}
