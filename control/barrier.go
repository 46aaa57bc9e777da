package control

import (
	"sync"
	"time"
)

// shareWindow is how long renewals wait for others to share a majority read
// with. Their leases count from before they were sent, so the wait costs them
// nothing but a hundredth of a second of the term.
const shareWindow = 10 * time.Millisecond

// sharedBarrier lets many renewals share one majority read, and has one under way at a
// time: while a read takes long, those that come meanwhile share the next. Without it
// 2,700 agents cause 5,400 rounds of messages a second between the replicas, and a
// leader that falls behind gets the more rounds to answer the further it is.
//
// A read is asked for only after its sharers have arrived, so it confirms the
// leadership at a time after each of their calls.
type sharedBarrier struct {
	confirm func() error
	mu      sync.Mutex
	open    *sharedRead // to which calls are still added, nil for none
	busy    bool        // a read is under way
}

type sharedRead struct {
	done chan struct{}
	err  error
}

// wait returns once this replica is confirmed as the leader, at a time after
// the call.
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

// run asks for one read after the other until nobody waits for one.
func (b *sharedBarrier) run() {
	for r := b.next(); r != nil; r = b.next() {
		r.err = b.confirm()
		close(r.done)
	}
}

// next closes the read that calls are added to: who comes from now on shares the one
// after it.
func (b *sharedBarrier) next() *sharedRead {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.open
	b.open, b.busy = nil, r != nil
	return r
}
