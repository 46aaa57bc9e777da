package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	noticeTime = 4500 * time.Millisecond // NoticeMs
	watchEvery = 20 * time.Millisecond
	waveTime   = 20 // DurationS
)

// maxUnavailable is how many tasks of a step the system may take away at a time.
const maxUnavailable = 1

// availability watches the tasks of a step that lasts, and judges AVAIL.
type availability struct {
	c     *cluster
	tasks []taskName

	mu       sync.Mutex
	lastWork map[taskName]time.Time // when it was last seen at work
	ordered  map[taskName]bool      // ended by an order, and not at work since
	broken   string
}

func newAvailability(c *cluster, j *job) *availability {
	a := &availability{c: c, lastWork: make(map[taskName]time.Time), ordered: make(map[taskName]bool)}
	for i := range j.phases[0].count {
		a.tasks = append(a.tasks, taskName{job: j.id, index: i})
	}
	c.machines.mu.Lock()
	c.machines.onUpkeep = a.upkeep
	c.machines.mu.Unlock()
	for _, w := range c.workers {
		w.setOnStop(a.stopped)
	}
	return a
}

// watch notes which tasks are at work until stop is closed.
func (a *availability) watch(stop chan struct{}) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		a.note()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

func (a *availability) note() {
	now := time.Now()
	for _, w := range a.c.workers {
		for _, t := range w.atWork() {
			a.mu.Lock()
			a.lastWork[t] = now
			delete(a.ordered, t)
			a.mu.Unlock()
		}
	}
}

// working returns how many tasks were at work a moment ago.
func (a *availability) working() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.tasks {
		if time.Since(a.lastWork[t]) < 5*watchEvery {
			n++
		}
	}
	return n
}

// upkeep judges the end of tasks by an upkeep of their machine.
func (a *availability) upkeep(w *worker, wave int, work []taskName) {
	a.judge(w, work, fmt.Sprintf("the upkeep of %s for wave %d", w.machine, wave))
}

// stopped judges the end of a task by a stop.
func (a *availability) stopped(w *worker, t taskName) {
	a.judge(w, []taskName{t}, "a stop on "+w.machine)
}

// judge judges an order that ends tasks which are at work.
func (a *availability) judge(w *worker, work []taskName, order string) {
	if _, standstill := w.mode(); standstill {
		return // not a sound worker
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, t := range work {
		if !slices.Contains(a.tasks, t) {
			continue
		}
		away := []string{}
		for _, other := range a.tasks {
			switch idle := now.Sub(a.lastWork[other]); {
			case other == t:
			case a.ordered[other]:
				away = append(away, fmt.Sprintf("%s (ended by such an order)", other))
			case idle >= noticeTime:
				away = append(away, fmt.Sprintf("%s (not at work for %d ms)", other, idle.Milliseconds()))
			}
		}
		a.ordered[t] = true
		if len(away) >= maxUnavailable && a.broken == "" {
			a.broken = fmt.Sprintf("AVAIL: %s ended %s, which was at work, while %v of its step were away; MaxUnavailable is %d", order, t, away, maxUnavailable)
			a.c.rec.log("platform", "%s", a.broken)
		}
	}
}

func (a *availability) verdict() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.broken
}

// submitStanding hands in a job of tasks that last, one a worker of kind b, and waits until so many
// are at work.
func submitStanding(c *cluster, count, atWork int) (*availability, chan struct{}, error) {
	j := c.client.newJob(fmt.Sprintf(`{"Spec":"watch","Phases":[{"Count":%d,"Cpu":13000,"MemMb":26000,"EstimatedMs":400,"RequiredLabel":"b","AntiAffinity":1,"LongRunning":true,"MaxUnavailable":%d}]}`, count, maxUnavailable),
		phase{count: count})
	a, stop := newAvailability(c, j), make(chan struct{})
	go a.watch(stop)
	if err := c.client.submit(j, 20*time.Second); err != nil {
		return a, stop, err
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		if a.working() == atWork {
			c.rec.log("client", "%d of %d tasks are at work", atWork, count)
			return a, stop, nil
		}
	}
	return a, stop, errors.New("the tasks that last are not at work")
}

// kindB returns the machines of kind b.
func kindB(c *cluster) (names []string) {
	for _, w := range c.workers {
		if w.labels[0] == "b" {
			names = append(names, w.machine)
		}
	}
	return names
}

func awaitWave(c *cluster, number int, within time.Duration) {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * pollPause) {
		if s := c.operator.waveState(number); s != last {
			last = s
			c.rec.log("operator", "GET wave-get/%d -> %s", number, s)
		}
		if last == "completed" {
			return
		}
	}
}

// playWaveTogether orders the upkeep of the two machines of a kind, both at once, each of which runs
// one task of a step that can spare one. Without trouble the wave lets one machine be down at once.
func playWaveTogether(c *cluster, trouble bool) (string, error) {
	a, stop, err := submitStanding(c, 2, 2)
	defer close(stop)
	if err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second) // all have been at work for longer than any bound
	concurrency := 1
	if trouble {
		concurrency = 2
	}
	if err := c.operator.startWave(1, kindB(c), waveTime, concurrency); err != nil {
		return "", err
	}
	awaitWave(c, 1, 45*time.Second)
	return a.verdict(), nil
}

// playWaveStandstill orders the upkeep of one machine. It runs one task of a step that can spare
// one, and the step's other task has stood still on another worker since its start.
func playWaveStandstill(c *cluster, trouble bool) (string, error) {
	still := c.workers[len(c.workers)-1]
	atWork := 3
	if trouble {
		still.setStandstill(true)
		atWork = 2
	}
	a, stop, err := submitStanding(c, 3, atWork)
	defer close(stop)
	if err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if err := c.operator.startWave(1, kindB(c)[:1], waveTime, 1); err != nil {
		return "", err
	}
	awaitWave(c, 1, 30*time.Second)
	return a.verdict(), nil
}
