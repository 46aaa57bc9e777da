package transport

import (
	"container/list"
	"sync"
	"time"
)

// memory is what the bodies of requests may take in this process, whatever the number of
// connections: while they are read, decoded and passed on.
var memory budget

// budget is an amount of memory that requests share. Requests that are still arriving give theirs up
// for others, the oldest first: otherwise clients that send slowly could hold all of it.
type budget struct {
	mu       sync.Mutex
	freed    chan struct{} // closed when memory becomes free, nil while nobody waits for it
	total    int64         // bytes, 0 for no bound
	used     int64
	arriving list.List // of *bodyReader, the oldest first
}

func (b *budget) setTotal(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = bytes
}

// capped returns the most that one request is charged, so that others are served beside it.
func (b *budget) capped(bytes int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total > 0 {
		bytes = min(bytes, b.total/largestPart)
	}
	return bytes
}

// largestPart is the part of a budget that one request is charged at most: one in so many.
const largestPart = 4

// tryTake takes an amount if it is free. If not, freed is closed once something has become free.
func (b *budget) tryTake(bytes int64) (ok bool, freed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.total > 0 && b.used+bytes > b.total {
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		return false, b.freed
	}
	b.used += bytes
	return true, nil
}

// take waits for an amount until a time, and has requests that are still arriving give theirs up.
func (b *budget) take(bytes int64, until time.Time) bool {
	for {
		ok, freed := b.tryTake(bytes)
		if ok {
			return true
		}
		b.displaceOldest()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-freed:
			timer.Stop()
		case <-timer.C:
			return false
		}
	}
}

func (b *budget) displaceOldest() {
	b.mu.Lock()
	front := b.arriving.Front()
	if front == nil {
		b.mu.Unlock()
		return
	}
	r := front.Value.(*bodyReader)
	b.removeArriving(r)
	b.mu.Unlock()
	r.conn.displace(closedForMemory)
}

// addArriving adds a request to those that give up their memory for others.
func (b *budget) addArriving(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.place == nil {
		r.place = b.arriving.PushBack(r)
	}
}

// removeArriving removes a request from them. The caller holds the lock.
func (b *budget) removeArriving(r *bodyReader) {
	if r.place != nil {
		b.arriving.Remove(r.place)
		r.place = nil
	}
}

// arrived ends the arrival of a request.
func (b *budget) arrived(r *bodyReader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeArriving(r)
}

func (b *budget) give(bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}
