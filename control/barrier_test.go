package control

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// roundStart is an error that carries the start of the round that returned it.
type roundStart struct{ time.Time }

func (roundStart) Error() string { return "not the leader" }

// Guards against overlapping rounds at a leader that is slow to confirm its leadership: one round
// per 10 ms of calls would slow it down further. Calls that arrive during a round share the next
// one, and none is answered by a round that began before the call.
func TestConcurrentReadsShareOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds := 0
		b := &sharedBarrier{confirm: func() error {
			rounds++
			begun := roundStart{time.Now()}
			time.Sleep(300 * time.Millisecond)
			return begun
		}}
		var calls sync.WaitGroup
		for range 1000 {
			calls.Go(func() {
				called := time.Now()
				if begun, ok := b.wait().(roundStart); !ok || begun.Before(called) {
					t.Errorf("called at %v, answered by a round that began at %v", called, begun)
				}
			})
			time.Sleep(time.Millisecond)
		}
		calls.Wait()
		if rounds > 5 {
			t.Errorf("%d rounds in a second of calls", rounds)
		}
	})
}
