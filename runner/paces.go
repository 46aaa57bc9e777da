package runner

import "sync"

// paceQueue keeps the pace calls of each run in order: one is on its way at a time, and the
// newest that is asked for meanwhile goes next. Calls on different connections overtake
// each other, and a run that was told 60, 30 and 10 at once would work on at 60.
type paceQueue struct {
	mu   sync.Mutex
	runs map[runKey]*PaceCall // with a sender at work: what it sends next, nil for nothing
}

func newPaceQueue() *paceQueue { return &paceQueue{runs: make(map[runKey]*PaceCall)} }

// ask takes in a call and reports whether a sender has to be started for its run.
func (q *paceQueue) ask(c PaceCall) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := runKey{c.Task, c.Run}
	_, sending := q.runs[key]
	q.runs[key] = &c
	return !sending
}

// next returns the call to send next for a run, false if there is none. The sender that
// is told so must end.
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
