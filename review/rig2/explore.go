package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// explorer plays random jobs and faults, and judges the rules on runs.
type explorer struct {
	c   *cluster
	rng *rand.Rand

	mu     sync.Mutex
	jobs   map[string]*exploredJob
	tasks  map[taskName]*taskHistory
	saved  map[string]savedPoint
	nSaved int
	broken []string
}

// savedPoint is what a checkpoint stands for.
type savedPoint struct {
	group taskName
	index int
	done  time.Duration
}

// exploredJob is a job with what its client has been told of it.
type exploredJob struct {
	*job
	spec        string
	steps       []exploredStep
	repeat      int
	startAt     int64
	every       int64
	accepted    bool
	cancelAcked time.Time
	cancelSent  bool
	shown       string
	shownAt     time.Time
}

// exploredStep is a step as it was drawn.
type exploredStep struct {
	count       int
	cpu         int64
	work        time.Duration
	gang        bool
	checkpoint  bool
	speculative bool
	lasts       bool
	label       string
	perWorker   int
	depends     []int
	poison      bool
}

// taskHistory holds all runs of a task, on all workers.
type taskHistory struct {
	runs []*exploredRun
}

// exploredRun is one run, with when its end was taken note of.
type exploredRun struct {
	run   uint32
	life  *life
	start time.Time
	end   time.Time
	how   string
	noted time.Time
}

// newExplorer returns an explorer with the seed in SEED, or a new one.
func newExplorer(c *cluster) *explorer {
	seed := time.Now().UnixNano()
	if s := os.Getenv("SEED"); s != "" {
		seed, _ = strconv.ParseInt(s, 10, 64)
	}
	return &explorer{c: c, rng: rand.New(rand.NewSource(seed)), jobs: make(map[string]*exploredJob), tasks: make(map[taskName]*taskHistory), saved: make(map[string]savedPoint)}
}

// breakRule notes that a rule was broken. The caller holds the lock.
func (x *explorer) breakRule(format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	x.broken = append(x.broken, msg)
	x.c.rec.log("ORACLE", "%s", msg)
}

// failsByItself reports whether a run fails by its own fault.
func (x *explorer) failsByItself(n runName) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	j := x.jobs[n.task.job]
	return j != nil && j.steps[n.task.step].poison
}

// history returns the runs of a task. The caller holds the lock.
func (x *explorer) history(t taskName) *taskHistory {
	h := x.tasks[t]
	if h == nil {
		h = &taskHistory{}
		x.tasks[t] = h
	}
	return h
}

// started judges a start. The life's lock is held.
func (x *explorer) started(l *life, r *activeRun, b *callBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t, now := r.name.task, time.Now()
	j := x.jobs[t.job]
	if j == nil {
		return
	}
	st := &j.steps[t.step]
	h := x.history(t)
	for _, o := range h.runs {
		if o.end.IsZero() && !st.speculative {
			x.breakRule("TWICE: %s run %d starts on %s while run %d runs on %s", t, r.name.run, l.w.machine, o.run, o.life.w.machine)
		}
		if o.how == howDone && !st.speculative && !st.lasts && !o.noted.IsZero() {
			x.breakRule("TWICE: %s run %d starts on %s after run %d ended done at %s, noted", t, r.name.run, l.w.machine, o.run, o.life.w.machine)
		}
	}
	failed := 0
	for _, o := range h.runs {
		if o.how == howFailed && !o.noted.IsZero() {
			failed++
		}
	}
	if failed >= attempts && !st.lasts {
		x.breakRule("BUDGET: %s run %d starts after %d failed runs", t, r.name.run, failed)
	}
	if b.Spec != j.spec {
		x.breakRule("UNASKED: %s run %d has another spec", t, r.name.run)
	}
	if b.Checkpoint != "" {
		p, ok := x.saved[b.Checkpoint]
		if !ok || p.group != t.group() || (!st.gang && p.index != t.index) {
			x.breakRule("UNASKED: %s run %d has a foreign checkpoint %q", t, r.name.run, b.Checkpoint)
		}
		r.done = p.done
	}
	if !j.cancelAcked.IsZero() && now.Sub(j.cancelAcked) > 3*time.Second {
		x.breakRule("UNASKED: %s run %d starts %v after the cancel was acknowledged", t, r.name.run, now.Sub(j.cancelAcked))
	}
	if j.shown == "completed" && now.Sub(j.shownAt) > time.Second {
		x.breakRule("TWICE: %s run %d starts after the job was shown as completed", t, r.name.run)
	}
	for _, d := range st.depends {
		for i := range j.steps[d].count {
			if !x.isDone(j, taskName{t.job, t.occurrence, d, i}) {
				x.breakRule("ORDER: %s run %d starts before step %d is done", t, r.name.run, d)
			}
		}
	}
	if j.repeat > 0 {
		due := j.startAt + int64(t.occurrence)*j.every
		if early := due - now.UnixMilli(); early > 250 {
			x.breakRule("ORDER: %s run %d starts %d ms early", t, r.name.run, early)
		}
	}
	if st.label != "" && l.w.labels[0] != st.label && l.w.labels[1] != st.label {
		x.breakRule("ROUTE: %s run %d on %s without the label", t, r.name.run, l.w.machine)
	}
	if st.perWorker > 0 {
		n := 0
		for name := range l.runs {
			if name.task.group() == t.group() {
				n++
			}
		}
		if n >= st.perWorker {
			x.breakRule("ROUTE: %s run %d on %s beyond AntiAffinity", t, r.name.run, l.w.machine)
		}
	}
	used := st.cpu
	for name := range l.runs {
		if o := x.jobs[name.task.job]; o != nil {
			used += o.steps[name.task.step].cpu
		}
	}
	if used > l.w.cpu {
		x.breakRule("LIMIT: %s run %d brings %s to %d of %d", t, r.name.run, l.w.machine, used, l.w.cpu)
	}
	h.runs = append(h.runs, &exploredRun{run: r.name.run, life: l, start: now})
}

// isDone reports whether a task has ended done, for a gang through any member.
func (x *explorer) isDone(j *exploredJob, t taskName) bool {
	for i := range j.steps[t.step].count {
		o := t
		o.index = i
		if !j.steps[t.step].gang && i != t.index {
			continue
		}
		for _, r := range x.history(o).runs {
			if r.how == howDone {
				return true
			}
		}
	}
	return false
}

// find returns a run on one life of a worker.
func (x *explorer) find(l *life, n runName) *exploredRun {
	for _, o := range x.history(n.task).runs {
		if o.run == n.run && o.life == l {
			return o
		}
	}
	return nil
}

// ended notes an end and returns the checkpoint. The life's lock is held, but for howDown.
func (x *explorer) ended(l *life, r *activeRun, how string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	o := x.find(l, r.name)
	j := x.jobs[r.name.task.job]
	if o == nil || j == nil {
		return ""
	}
	o.end, o.how = time.Now(), how
	st := &j.steps[r.name.task.step]
	if !st.checkpoint || how == howDown || how == howDone {
		return ""
	}
	done := r.done
	if r.working {
		done += time.Since(r.started)
	}
	if how != howStopped {
		done = done / (2 * time.Second) * (2 * time.Second)
	}
	if done <= 0 {
		return r.saved
	}
	x.nSaved++
	id := fmt.Sprintf("%08x%08x", x.nSaved, rand.Uint32())
	x.saved[id] = savedPoint{r.name.task.group(), r.name.task.index, min(done, st.work-50*time.Millisecond)}
	return id
}

// acked notes that an end was taken note of. The life's lock is held.
func (x *explorer) acked(l *life, e endRow) {
	x.mu.Lock()
	defer x.mu.Unlock()
	o := x.find(l, e.name)
	j := x.jobs[e.name.task.job]
	if o == nil || j == nil || !l.lapsedAt.Before(e.at) {
		return
	}
	o.noted = time.Now()
	st := &j.steps[e.name.task.step]
	later := 0
	failed := 0
	for _, p := range x.history(e.name.task).runs {
		if p.start.After(o.end) {
			later++
		}
		if p.how == howFailed && !p.noted.IsZero() {
			failed++
		}
	}
	if o.how == howDone && later > 0 && !st.speculative && !st.lasts {
		x.breakRule("TWICE: %s run %d ended done on %s, which is taken note of after %d later starts", e.name.task, o.run, l.w.machine, later)
	}
	if o.how == howFailed && failed >= attempts && later > 0 && !st.lasts && !st.speculative {
		// a start after the last of these ends
		last := time.Time{}
		n := 0
		for _, p := range x.history(e.name.task).runs {
			if p.how == howFailed && !p.noted.IsZero() && p.end.After(last) {
				last = p.end
				n++
			}
		}
		for _, p := range x.history(e.name.task).runs {
			if p.start.After(last) {
				x.breakRule("BUDGET: %s run %d started after %d failed runs", e.name.task, p.run, failed)
			}
		}
	}
}

// drawJob draws a job.
func (x *explorer) drawJob() *exploredJob {
	r := x.rng
	j := &exploredJob{spec: fmt.Sprintf("spec-%d", r.Intn(1e9))}
	steps := 1 + r.Intn(3)
	var phases []phase
	var texts []string
	lasts := r.Intn(6) == 0
	if lasts {
		steps = 1
	}
	for i := range steps {
		st := exploredStep{count: 1 + r.Intn(6), cpu: int64(1000 + r.Intn(6000)), work: time.Duration(200+r.Intn(3000)) * time.Millisecond}
		if r.Intn(4) == 0 {
			st.work = time.Duration(4000+r.Intn(4000)) * time.Millisecond
		}
		st.gang = r.Intn(3) == 0
		st.checkpoint = r.Intn(2) == 0
		st.speculative = !st.gang && r.Intn(5) == 0
		if r.Intn(4) == 0 {
			st.label = []string{"a", "b", "r0-0", "r1-0"}[r.Intn(4)]
		}
		if r.Intn(4) == 0 {
			st.perWorker = 1 + r.Intn(2)
			st.count = min(st.count, 3)
			if st.label != "" {
				st.count = 1
			}
		}
		if i > 0 && r.Intn(3) > 0 {
			st.depends = []int{i - 1}
		}
		if r.Intn(15) == 0 {
			st.poison = true
		}
		rack := st.gang && r.Intn(2) == 0
		if lasts {
			st.lasts, st.gang, st.speculative, st.checkpoint, st.work, st.poison = true, false, false, false, 0, false
		}
		parts := []string{fmt.Sprintf(`"Count":%d,"Cpu":%d,"MemMb":100,"EstimatedMs":%d`, st.count, st.cpu, max(st.work.Milliseconds(), 100))}
		for _, f := range []struct {
			on   bool
			text string
		}{{st.gang, `"Gang":true`}, {rack, `"RackSensitive":true`}, {st.checkpoint, `"Checkpointing":true`}, {st.speculative, `"Speculative":true`}, {st.lasts, `"LongRunning":true`},
			{st.label != "", fmt.Sprintf(`"RequiredLabel":%q`, st.label)}, {st.perWorker > 0, fmt.Sprintf(`"AntiAffinity":%d`, st.perWorker)}, {len(st.depends) > 0, fmt.Sprintf(`"DependsOn":[%d]`, i-1)}} {
			if f.on {
				parts = append(parts, f.text)
			}
		}
		texts = append(texts, "{"+strings.Join(parts, ",")+"}")
		phases = append(phases, phase{count: st.count, work: st.work, gang: st.gang})
		j.steps = append(j.steps, st)
	}
	timed := ""
	if !lasts && r.Intn(5) == 0 {
		j.repeat, j.startAt, j.every = 1+r.Intn(4), time.Now().UnixMilli()+int64(r.Intn(6000)), int64(500+r.Intn(4000))
		timed = fmt.Sprintf(`,"RepeatCount":%d,"StartAtMs":%d,"IntervalMs":%d`, j.repeat, j.startAt, j.every)
	}
	body := fmt.Sprintf(`{"Spec":%q,"Phases":[%s]%s}`, j.spec, strings.Join(texts, ","), timed)
	j.job = x.c.client.newJob(body, phases...)
	x.mu.Lock()
	x.jobs[j.id] = j
	x.mu.Unlock()
	return j
}

// runJob hands a job in, and cancels it or asks for its state until it has ended.
func (x *explorer) runJob(j *exploredJob, cancelAfter time.Duration) {
	if err := x.c.client.submit(j.job, 25*time.Second); err != nil {
		return
	}
	x.mu.Lock()
	j.accepted = true
	x.mu.Unlock()
	if cancelAfter > 0 {
		time.Sleep(cancelAfter)
		x.mu.Lock()
		j.cancelSent = true
		x.mu.Unlock()
		for range 100 {
			status, _ := x.c.client.call(http.MethodDelete, j.job, "")
			if status == 200 || status == 410 {
				x.mu.Lock()
				j.cancelAcked = time.Now()
				x.mu.Unlock()
				x.c.rec.log("client", "DELETE %s -> %d", j.id, status)
				return
			}
			time.Sleep(pollPause)
		}
		return
	}
	if rand.Intn(3) == 0 {
		time.Sleep(time.Duration(rand.Intn(4000)) * time.Millisecond)
		x.c.client.call(http.MethodPost, j.job, j.body) // arrives again
	}
	for range 400 {
		status, body := x.c.client.call(http.MethodGet, j.job, "")
		x.note(j, status, body)
		x.mu.Lock()
		over := j.shown == "completed" || j.shown == "failed"
		x.mu.Unlock()
		if over {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// note judges what the client is told of a job.
func (x *explorer) note(j *exploredJob, status int, body string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if status == 410 {
		x.breakRule("LOST: job %s is answered 410", j.id)
		return
	}
	if status != 200 {
		return
	}
	state := ""
	for _, s := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if strings.Contains(body, `"`+s+`"`) {
			state = s
		}
	}
	if j.shown == state {
		return
	}
	j.shown, j.shownAt = state, time.Now()
	x.c.rec.log("client", "GET %s -> %s", j.id, state)
	switch state {
	case "completed":
		for k := range max(j.repeat, 1) {
			for s := range j.steps {
				for i := range j.steps[s].count {
					if t := (taskName{j.id, k, s, i}); !x.isDone(j, t) {
						x.breakRule("MIXED: job %s is shown as completed, %s is not done", j.id, t)
					}
				}
			}
		}
	case "failed":
		most := 0
		for t, h := range x.tasks {
			if t.job != j.id {
				continue
			}
			n := 0
			for _, r := range h.runs {
				if r.how == howFailed {
					n++
				}
			}
			most = max(most, n)
		}
		if most < attempts && !x.gangFault(j) {
			x.breakRule("LOST: job %s is shown as failed, its tasks have failed %d times at most", j.id, most)
		}
	case "cancelled":
		if !j.cancelSent {
			x.breakRule("LOST: job %s is shown as cancelled", j.id)
		}
	}
}

// gangFault reports whether the known fault with gangs explains a failed job.
func (x *explorer) gangFault(j *exploredJob) bool {
	for _, s := range j.steps {
		if s.gang && s.count > 1 {
			return true
		}
	}
	return false
}

// fault plays one fault.
func (x *explorer) fault(kinds string) {
	r, c := x.rng, x.c
	w := c.workers[r.Intn(len(c.workers))]
	names := []string{}
	for i := range controls {
		names = append(names, fmt.Sprintf("core-%s-1", zoneName(i)))
	}
	side := fmt.Sprintf("side-%d", 1+r.Intn(len(c.workers)))
	all := strings.Split(kinds, ",")
	switch k := all[r.Intn(len(all))]; k {
	case "killcore":
		x.kill(names[r.Intn(controls)], time.Duration(r.Intn(2500))*time.Millisecond)
	case "killcores":
		for _, n := range names {
			x.kill(n, time.Duration(200+r.Intn(800))*time.Millisecond)
		}
	case "killside":
		x.kill(side, time.Duration(r.Intn(1500))*time.Millisecond)
	case "killentry":
		x.kill("frontend-hall-a-1", 300*time.Millisecond)
	case "freezecore":
		x.freeze(names[r.Intn(controls)], time.Duration(500+r.Intn(4500))*time.Millisecond)
	case "freezeside":
		x.freeze(side, time.Duration(500+r.Intn(7500))*time.Millisecond)
	case "crash":
		c.rec.log("rig", "%s crashes", w.machine)
		w.takeDown()
		time.AfterFunc(time.Duration(100+r.Intn(4500))*time.Millisecond, func() {
			if w.current() == nil {
				w.boot()
			}
		})
	case "lateflap":
		c.rec.log("rig", "%s late and flaps", w.machine)
		w.setLate(0.5)
		go func() {
			for range 3 {
				time.Sleep(time.Duration(300+rand.Intn(1200)) * time.Millisecond)
				w.takeDown()
				time.Sleep(time.Duration(50+rand.Intn(900)) * time.Millisecond)
				if w.current() == nil {
					w.boot()
				}
			}
			time.Sleep(time.Second)
			w.setLate(0)
		}()
	case "late":
		c.rec.log("rig", "%s late", w.machine)
		w.setLate(0.5)
		time.AfterFunc(time.Duration(1000+r.Intn(5000))*time.Millisecond, func() { w.setLate(0) })
	case "fail":
		w.setFailing(true)
		time.AfterFunc(time.Duration(1000+r.Intn(4000))*time.Millisecond, func() { w.setFailing(false) })
	case "wave":
		x.mu.Lock()
		x.nSaved++
		n := x.nSaved + 1000
		x.mu.Unlock()
		m := []string{}
		for _, w := range c.workers {
			if r.Intn(2) == 0 {
				m = append(m, w.machine)
			}
		}
		if len(m) > 0 {
			go c.operator.startWave(n, m, 10+r.Intn(20), 1+r.Intn(2))
		}
	}
}

// kill ends a process, and starts it again after a time.
func (x *explorer) kill(name string, down time.Duration) {
	c := x.c
	c.mu.Lock()
	p := c.named[name]
	if p == nil {
		c.mu.Unlock()
		return
	}
	c.named[name] = nil
	c.mu.Unlock()
	c.rec.log("rig", "kill %s for %v", name, down)
	p.Process.Kill()
	go func() {
		p.Wait()
		path := filepath.Join(c.dir, name+".toml")
		if b, err := os.ReadFile(path); err == nil {
			os.WriteFile(path, []byte(strings.Replace(string(b), "form_from_seeds = true", "form_from_seeds = false", 1)), 0o600)
		}
		time.Sleep(down)
		if err := c.launch(name); err != nil {
			c.rec.log("rig", "%s does not start: %v", name, err)
		}
	}()
}

// freeze stops a process for a time.
func (x *explorer) freeze(name string, d time.Duration) {
	c := x.c
	c.mu.Lock()
	p := c.named[name]
	c.mu.Unlock()
	if p == nil {
		return
	}
	c.rec.log("rig", "freeze %s for %v", name, d)
	p.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.Process.Signal(syscall.SIGCONT) })
}

// playExplore plays random jobs beside random faults for 50 s, and judges all of them. KINDS lists the
// faults to draw from, GAP is their mean distance in milliseconds, and with SAMEID set workers keep
// their ids.
func playExplore(c *cluster, trouble bool) (string, error) {
	x := c.explore
	kinds := os.Getenv("KINDS")
	if kinds == "" {
		kinds = "killcore,killcores,killside,killside,killentry,freezecore,freezeside,freezeside,crash,crash,late,late,fail,wave"
	}
	gap := 2500
	if g, err := strconv.Atoi(os.Getenv("GAP")); err == nil {
		gap = g
	}
	var wg sync.WaitGroup
	begun := time.Now()
	nextFault := time.Now().Add(2 * time.Second)
	for time.Since(begun) < 50*time.Second {
		cancel := time.Duration(0)
		j := x.drawJob()
		if j.steps[0].lasts || x.rng.Intn(10) == 0 {
			cancel = time.Duration(x.rng.Intn(8000)+200) * time.Millisecond
			if j.steps[0].lasts {
				cancel += 6 * time.Second
			}
		}
		wg.Add(1)
		go func() { defer wg.Done(); x.runJob(j, cancel) }()
		time.Sleep(time.Duration(x.rng.Intn(700)) * time.Millisecond)
		if trouble && time.Now().After(nextFault) {
			x.fault(kinds)
			nextFault = time.Now().Add(time.Duration(x.rng.Intn(2*gap)) * time.Millisecond)
		}
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(45 * time.Second):
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	open := 0
	counts := map[string]int{}
	for _, j := range x.jobs {
		counts[j.shown]++
		if j.accepted && !j.cancelSent && j.shown != "completed" && j.shown != "failed" {
			open++
			x.breakRule("STUCK: job %s %s is shown as %q", j.id, j.body, j.shown)
		}
	}
	fmt.Println(counts, "open", open)
	if len(x.broken) > 0 {
		return strings.Join(x.broken[:min(len(x.broken), 8)], "\n"), nil
	}
	return "", nil
}
