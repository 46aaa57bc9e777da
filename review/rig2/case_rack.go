package main

import (
	"fmt"
	"time"
)

const (
	rackGangWork = 2700 * time.Millisecond
	rackLimit    = 40 * time.Second
	// loadedFor is how long the failing worker bears the work of the gang.
	loadedFor    = 200 * time.Millisecond
	rackCrashes  = 2
	rackDownTime = time.Second
)

// playRackGang hands in a gang that is sensitive to racks and wider than a rack. One of eleven workers
// crashes shortly after the gang has begun there, twice. Then all workers stay up, and a job of short
// tasks is handed in to the queue with the lower priority.
func playRackGang(c *cluster, trouble bool) (string, error) {
	w := c.workers[len(c.workers)-1]
	gang := c.client.newJob(fmt.Sprintf(`{"Spec":"render","Phases":[{"Count":%d,"Cpu":7000,"MemMb":13000,"EstimatedMs":2700,"Gang":true,"RackSensitive":true}]}`, gangCount),
		phase{count: gangCount, work: rackGangWork, gang: true})
	if err := c.client.submit(gang, 20*time.Second); err != nil {
		return "", err
	}
	if trouble {
		for range rackCrashes {
			if err := crashUnderLoad(w); err != nil {
				return "", err
			}
		}
	}
	calm := time.Now()
	time.Sleep(6 * time.Second)
	short := c.client.newJob(`{"Spec":"lookup","Phases":[{"Count":6,"Cpu":960,"MemMb":1900,"EstimatedMs":640}]}`, phase{count: 6, work: 640 * time.Millisecond})
	short.prefix = prefixLow
	if err := c.client.submit(short, 20*time.Second); err != nil {
		return "", err
	}
	open := c.awaitJobs(map[string]*job{"gang": gang, "short": short}, rackLimit)
	if len(open) == 0 {
		return "", nil
	}
	for _, x := range c.workers {
		if x.current().busy() {
			return "", fmt.Errorf("%v not ended, but something runs", open)
		}
	}
	return fmt.Sprintf("LOST: %v: nothing of these jobs runs, and nothing else, on %d workers that have all been up for %v", open, len(c.workers), time.Since(calm).Round(time.Second)), nil
}

// crashUnderLoad waits until a worker runs something, and takes it down a moment later for a second.
func crashUnderLoad(w *worker) error {
	for end := time.Now().Add(10 * time.Second); !w.current().busy(); time.Sleep(watchEvery) {
		if time.Now().After(end) {
			return fmt.Errorf("nothing runs on %s", w.machine)
		}
	}
	time.Sleep(loadedFor)
	w.c.rec.log(w.machine, "the worker crashes")
	w.takeDown()
	time.Sleep(rackDownTime)
	return w.boot()
}

// awaitJobs waits until jobs have ended, and returns the states of those that have not.
func (c *cluster) awaitJobs(list map[string]*job, within time.Duration) (open []string) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollPause) {
		open = nil
		for name, j := range list {
			s := c.client.state(j)
			if s == "completed" {
				c.rec.log("client", "GET %s -> completed (%s)", j.id, name)
				delete(list, name)
				continue
			}
			open = append(open, fmt.Sprintf("%s job %s is shown as %q", name, j.id, s))
		}
		if len(open) == 0 {
			return nil
		}
	}
	c.rec.log("client", "%v", open)
	return open
}

// busy reports whether anything runs.
func (l *life) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs) > 0
}
