package main

import (
	"fmt"
	"net/http"
	"time"
)

// sides is the number of side machines, of which one is a twelfth.
const sides = 12

// twice: a worker answers one start with 503, its machine is cut off for two seconds and its
// agent is killed meanwhile. What the first agent had sent arrives after the second one has
// started the run.
func twice(s *stage) (string, error) {
	if err := s.startCore(); err != nil {
		return "", err
	}
	if err := s.startEntry(5, s.coreSeeds()); err != nil {
		return "", err
	}
	p, seeds, err := s.proxy(9)
	if err != nil {
		return "", err
	}
	side, first, err := s.startSide("w1", 11, seeds, 10_000, "a", "r1")
	if err != nil {
		return "", err
	}
	for n := 2; n <= sides; n++ {
		if _, _, err := s.startSide(fmt.Sprintf("w%d", n), 10+n, s.coreSeeds(), 10_000, "a", "r2"); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	const id = "00000000000000a1"
	if s.trouble {
		first.shedNext(1)
		// A segment sent as the cut begins is sent again after 0.25, 0.75, 1.75 and 3.75 s.
		p.arm("/workers/ends", 2*time.Second, 3750*time.Millisecond)
	}
	if status := s.submit(5, id, task{Count: 1, Cpu: 2000, MemMb: 1000, LongRunning: true}); status != http.StatusOK {
		return "", fmt.Errorf("the job was answered with %d", status)
	}
	if s.trouble {
		select {
		case <-p.begun:
		case <-time.After(5 * time.Second):
			return "", fmt.Errorf("the first worker got no start")
		}
		time.Sleep(200 * time.Millisecond)
		s.rec.printf("SIGKILL to the agent of w1")
		side.kill()
		time.Sleep(restart)
		s.rec.printf("the agent of w1 starts again")
		if err := s.run(side); err != nil {
			return "", err
		}
	}
	time.Sleep(15 * time.Second)
	return overlap(s, id), nil
}

// overlap returns the first two runs of one task of a job that were at work at the same time.
func overlap(s *stage, id string) string {
	now := time.Now()
	runs := s.ran(id)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			from, to := latest(a.from, b.from), earliest(a.end(now), b.end(now))
			if a.task == b.task && from.Before(to) {
				return fmt.Sprintf("TWICE: %v and %v were at work together for %v", a, b, to.Sub(from).Round(time.Millisecond))
			}
		}
	}
	return ""
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// end returns when the run ended, or now while it is at work.
func (x interval) end(now time.Time) time.Time {
	if x.to.IsZero() {
		return now
	}
	return x.to
}

// refused: the frontend's first message about a job is held up. Its second try is refused for
// want of room, and the client is told so. The first message arrives when there is room again.
func refused(s *stage) (string, error) {
	if err := s.startCore(); err != nil {
		return "", err
	}
	p, seeds, err := s.proxy(9)
	if err != nil {
		return "", err
	}
	if err := s.startEntry(5, seeds); err != nil {
		return "", err
	}
	for n, name := range []string{"w1", "w2"} {
		if _, _, err := s.startSide(name, 11+n, s.coreSeeds(), 10_000, "a", "r1"); err != nil {
			return "", err
		}
	}
	time.Sleep(2 * time.Second)
	const full, id = "00000000000000b1", "00000000000000b2"
	if status := s.submit(5, full, task{Count: 2, Cpu: 6000, MemMb: 1000, LongRunning: true}); status != http.StatusOK {
		return "", fmt.Errorf("the first job was answered with %d", status)
	}
	time.Sleep(time.Second)
	if s.trouble {
		p.arm("/jobs/submit", 0, 1750*time.Millisecond)
	}
	status := s.submit(5, id, task{Count: 1, Cpu: 4000, MemMb: 1000, LongRunning: true})
	if status != http.StatusTooManyRequests {
		return "", fmt.Errorf("the second job was answered with %d, not 429", status)
	}
	if status, _ := s.ask(http.MethodDelete, 5, full); status != http.StatusOK {
		return "", fmt.Errorf("the cancelling was answered with %d", status)
	}
	time.Sleep(8 * time.Second)
	s.ask(http.MethodGet, 5, id)
	if runs := s.ran(id); len(runs) > 0 {
		return fmt.Sprintf("REFUSED: %v began, and the only attempt to hand its job in was answered with 429", runs[0]), nil
	}
	return "", nil
}

// pending: a worker falls silent and is lost for good just before jobs that only it could run
// are handed in. They never begin, and the queue's length leaves them out.
func pending(s *stage) (string, error) {
	if err := s.startCore(); err != nil {
		return "", err
	}
	if err := s.startEntry(5, s.coreSeeds()); err != nil {
		return "", err
	}
	const workers = 8
	var last *worker
	for n := range workers {
		label := "a"
		if n == workers-1 {
			label = "b"
		}
		_, w, err := s.startSide(fmt.Sprintf("w%d", n+1), 11+n, s.coreSeeds(), 10_000, label, "r1")
		if err != nil {
			return "", err
		}
		last = w
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		last.lose()
	}
	const count = 6
	var ids []string
	for n := range count {
		id := fmt.Sprintf("00000000000000c%d", n)
		if status := s.submit(5, id, task{Count: 1, Cpu: 1000, MemMb: 1000, EstimatedMs: 500, RequiredLabel: "b"}); status != http.StatusOK {
			return "", fmt.Errorf("a job was answered with %d", status)
		}
		ids = append(ids, id)
	}
	// Jobs accepted over visible_ms + 2 s before have to be counted.
	time.Sleep(3*time.Second + 2*time.Second + 500*time.Millisecond)
	broken := ""
	for range 8 {
		status, body := s.ask(http.MethodGet, 5, "")
		waiting := 0
		for _, id := range ids {
			if len(s.ran(id)) == 0 {
				waiting++
			}
		}
		s.rec.printf("%d jobs were accepted over 5 s ago and have not begun", waiting)
		if said, ok := body["Pending"].(float64); status == http.StatusOK && ok && 2*int(said) < waiting {
			broken = fmt.Sprintf("MIXED: Pending is %v, while %d jobs that were accepted over 5 s before have not begun", said, waiting)
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}
