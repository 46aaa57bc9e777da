package main

import (
	"fmt"
	"time"
)

// greyTime is for how long a worker fails all that it starts: the longest of the site's
// srv_grey, for_s = 6.5.
const greyTime = 6500 * time.Millisecond

const gangCount = 32 // the widest step of revision-render

// playGangFailures hands a gang in while one of eleven workers fails all that it starts. A gang has
// failed MaxAttempts times after as many runs, whatever the number of its members.
func playGangFailures(c *cluster, trouble bool) (string, error) {
	grey := c.workers[len(c.workers)-1]
	if trouble {
		grey.setFailing(true)
		time.AfterFunc(greyTime, func() { grey.setFailing(false) })
	}
	j := c.client.newJob(fmt.Sprintf(`{"Spec":"render","Phases":[{"Count":%d,"Cpu":7000,"MemMb":13000,"EstimatedMs":2700,"Gang":true}]}`, gangCount),
		phase{count: gangCount, work: 2700 * time.Millisecond, gang: true})
	if err := c.client.submit(j, 20*time.Second); err != nil {
		return "", err
	}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		switch c.client.state(j) {
		case "completed":
			c.rec.log("client", "GET %s -> completed", j.id)
			return "", nil
		case "failed":
			c.rec.log("client", "GET %s -> failed", j.id)
			return judgeFailedGang(c, j)
		}
	}
	return "", fmt.Errorf("job %s did not end", j.id)
}

// judgeFailedGang says whether a gang that is shown as failed has had MaxAttempts runs that failed.
func judgeFailedGang(c *cluster, j *job) (string, error) {
	runs, ends := c.gangs.failures(j.id)
	if runs >= attempts {
		return "", nil
	}
	return fmt.Sprintf("LOST: job %s is shown as failed after %d failed run(s) of its gang (%d of its members ended failed); MaxAttempts is %d", j.id, runs, ends, attempts), nil
}
