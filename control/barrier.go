package control

import (
	"sync"
	"time"
)

// shareWindow is how long a majority read waits for further renewals to share it. Leases count
// from before the renewal was sent, so the wait costs only 10 ms of the term.
const shareWindow = 10 * time.Millisecond

// sharedBarrier lets many renewals share one majority read, with at most one read in flight:
// calls that arrive during a slow read share the next. Without it 2,700 agents cause 5,400
// message rounds a second between the replicas, and a leader that lags behind has ever more
// rounds to answer.
//
// A read starts only after all its callers have arrived, so it confirms the leadership at a time
// after each of their calls.
type sharedBarrier struct {
	confirm func() error
	mu      sync.Mutex
	open    *sharedRead // accepts further calls, nil for none
	busy    bool        // a read is in flight
}

type sharedRead struct {
	done chan struct{}
	err  error
}

// wait returns once this replica is confirmed as the leader at a time after the call.
func (b *sharedBarrier) wait() error {
	b.mu.Lock()
	r := b.open
	if r == nil {
		r = &sharedRead{done: make(chan struct{})}
		b.open = r
		if !b.busy {
			b.busy = true
			time.AfterFunc(shareWindow, b.run)
		}
	}
	b.mu.Unlock()
	<-r.done
	return r.err
}

// run performs one read after the other until no call is waiting.
func (b *sharedBarrier) run() {
	for r := b.next(); r != nil; r = b.next() {
		r.err = b.confirm()
		close(r.done)
	}
}

// next closes the open read to further calls and returns it, nil if there is none. Later calls
// share the following read.
func (b *sharedBarrier) next() *sharedRead {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.open
	b.open, b.busy = nil, r != nil
	return r
}
