package main

import (
	"fmt"
	"time"
)

// A flapping worker, as the site's srv_flap: gap_s = 1.4 for the period, for_s = 6.5.
const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
	flapPause  = 8 * time.Second
)

// flap takes a worker down and up by turns.
func (w *worker) flap() {
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		w.takeDown()
		w.c.rec.log(w.machine, "the worker crashes")
		time.Sleep(flapPeriod / 2)
		if err := w.boot(); err != nil {
			w.c.rec.log(w.machine, "the worker does not come up: %v", err)
		}
		time.Sleep(flapPeriod / 2)
	}
}

// playFlap runs one task that lasts on each worker while one of eleven workers goes down and up by
// turns for one spell. Tasks that last are to be restarted however they end.
func playFlap(c *cluster, trouble bool) (string, error) {
	count := len(c.workers)
	j := c.client.newJob(fmt.Sprintf(`{"Spec":"watch","Phases":[{"Count":%d,"Cpu":13000,"MemMb":26000,"EstimatedMs":400,"AntiAffinity":1,"LongRunning":true}]}`, count), phase{count: count})
	if err := c.client.submit(j, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	flapping := c.workers[count-1]
	if trouble {
		flapping.flap()
	} else {
		time.Sleep(flapTime)
	}
	time.Sleep(flapPause)
	state := c.client.state(j)
	working := 0
	for _, w := range c.workers {
		working += len(w.atWork())
	}
	c.rec.log("client", "GET %s -> %s; %d of %d tasks are at work", j.id, state, working, count)
	switch state {
	case "running":
		return "", nil
	case "failed":
		return fmt.Sprintf("LOST: job %s, whose tasks last and which nobody has cancelled, is shown as failed, and %d of its %d tasks are at work; no run has ended failed", j.id, working, count), nil
	}
	return "", fmt.Errorf("job %s is shown as %q", j.id, state)
}
