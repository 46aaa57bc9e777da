package control

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// begunAt is an error that tells when the round began which brought it.
type begunAt struct{ time.Time }

func (begunAt) Error() string { return "it does not lead" }

// A leader that is slow to confirm its leadership is asked by all agents meanwhile. A round
// for each ten milliseconds of calls would make it slower still; all that come while one is
// under way share the next, and none is answered by a round that began before it came.
func TestReadsThatComeTogetherShareOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rounds := 0
		b := &sharedBarrier{confirm: func() error {
			rounds++
			begun := begunAt{time.Now()}
			time.Sleep(300 * time.Millisecond)
			return begun
		}}
		var calls sync.WaitGroup
		for range 1000 {
			calls.Go(func() {
				came := time.Now()
				if begun, ok := b.wait().(begunAt); !ok || begun.Before(came) {
					t.Errorf("came at %v, answered by a round that began at %v", came, begun)
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
