package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	addedWorkers = 8 // scale_out with share .25 of 32
	// idleBound is for how long a task may have no run while there is capacity for it, and
	// calmBefore how long before that nothing may have happened.
	idleBound  = 3 * time.Second
	calmBefore = 4 * time.Second
	adviceWait = 20 * time.Second
)

// playAdvice hands in a job of tasks that last, one a worker, with two more tasks than there are
// workers. Its queue has an advisor, whose policy allows all workers. Then empty workers are added.
func playAdvice(c *cluster, trouble bool) (string, error) {
	count := len(c.workers) + 2
	j := c.client.newJob(fmt.Sprintf(`{"Spec":"watch","Phases":[{"Count":%d,"Cpu":13000,"MemMb":26000,"EstimatedMs":400,"AntiAffinity":1,"LongRunning":true}]}`, count), phase{count: count})
	if err := c.client.submit(j, 20*time.Second); err != nil {
		return "", err
	}
	before := len(c.workers)
	for end := time.Now().Add(20 * time.Second); working(c) < before; time.Sleep(pollPause) {
		if time.Now().After(end) {
			return "", errors.New("the job does not run on all workers")
		}
	}
	c.rec.log("client", "%d of %d tasks are at work, one on each of %d workers", working(c), count, before)
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(adviceWait)
		return "", nil // no worker has room for the others
	}
	if err := c.addWorkers(addedWorkers); err != nil {
		return "", err
	}
	added := time.Now()
	for time.Since(added) < adviceWait {
		if working(c) == count {
			c.rec.log("client", "all %d tasks are at work %d ms after the workers were added", count, time.Since(added).Milliseconds())
			return "", nil
		}
		time.Sleep(pollPause)
	}
	return judgeIdle(c, j, count, before)
}

// judgeIdle judges tasks that have had no run since the workers were added, adviceWait ago: longer
// than calmBefore and idleBound together.
func judgeIdle(c *cluster, j *job, count, before int) (string, error) {
	if adviceWait < 2*heartbeatInterval+calmBefore+idleBound {
		return "", errors.New("the time is too short for a verdict")
	}
	idle, empty, asked := count-working(c), 0, 0
	for _, w := range c.workers[before:] {
		l := w.current()
		if len(w.atWork()) == 0 {
			empty++
		}
		if c.advisor.askedAbout(j.id+".0.0", l.id) {
			asked++
		}
	}
	c.rec.log("client", "%d tasks have no run; %d of %d added workers are empty; the advisor was asked about %d of them", idle, empty, addedWorkers, asked)
	if idle == 0 || empty < 2*idle {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d tasks of job %s, which lasts, have had no run for %v, while %d of %d workers are empty and may run them; the advisor was asked about %d of these", idle, j.id, adviceWait, empty, len(c.workers), asked), nil
}

// working returns the number of tasks that are at work.
func working(c *cluster) (n int) {
	for _, w := range c.workers {
		n += len(w.atWork())
	}
	return n
}
