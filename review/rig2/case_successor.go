package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// beatDelay is when a worker that has come up sends its first heartbeat. Heartbeats are 1.5 s apart.
	beatDelay = 1200 * time.Millisecond
	// crashAfter is how long after the unanswered order the worker goes down for the first time, and
	// lateAfterBoot how long after its second return the order is carried out.
	crashAfter    = 2 * time.Second
	lateAfterBoot = 400 * time.Millisecond
	// lateAfter is within 2 to 12 s.
	lateAfter = crashAfter + 3*flapPeriod/2 + lateAfterBoot
)

// playSuccessor hands in a job of one short task, which only one of eleven workers may run. The first
// order to start it goes unanswered and is carried out some seconds later; the second one is
// answered, and the job is completed. Then the worker goes down and up twice, under the same id.
// Without trouble all orders are answered and the worker stays up.
func playSuccessor(c *cluster, trouble bool) (string, error) {
	x, w := c.explore, c.workers[len(c.workers)-1]
	j := x.shortJob("b")
	if trouble {
		w.setNextLate(lateAfter)
	}
	sent := time.Now()
	x.follow(j, 10*time.Second)
	if j.shown != "completed" {
		return "", fmt.Errorf("the job is shown as %q", j.shown)
	}
	time.Sleep(time.Until(sent.Add(crashAfter)))
	if trouble {
		for range 2 {
			w.c.rec.log(w.machine, "the worker crashes")
			w.takeDown()
			time.Sleep(flapPeriod / 2)
			if err := w.bootWith(beatDelay); err != nil {
				return "", err
			}
			time.Sleep(flapPeriod / 2)
		}
	}
	time.Sleep(3 * time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range x.broken {
		if strings.HasPrefix(b, "TWICE") {
			return b, nil
		}
	}
	return "", nil
}

// shortJob makes a job of one short task that needs a label.
func (x *explorer) shortJob(label string) *exploredJob {
	st := exploredStep{count: 1, cpu: 1000, work: 200 * time.Millisecond, label: label}
	j := &exploredJob{spec: "short", steps: []exploredStep{st}}
	j.job = x.c.client.newJob(fmt.Sprintf(`{"Spec":"short","Phases":[{"Count":1,"Cpu":%d,"MemMb":100,"EstimatedMs":%d,"RequiredLabel":%q}]}`, st.cpu, st.work.Milliseconds(), label), phase{count: 1, work: st.work})
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs[j.id] = j
	return j
}

// follow hands a job in and asks for its state until it has ended.
func (x *explorer) follow(j *exploredJob, within time.Duration) {
	if x.c.client.submit(j.job, within) != nil {
		return
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * pollPause) {
		status, body := x.c.client.call(http.MethodGet, j.job, "")
		x.note(j, status, body)
		x.mu.Lock()
		over := j.shown == "completed" || j.shown == "failed"
		x.mu.Unlock()
		if over {
			return
		}
	}
}
