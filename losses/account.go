package losses

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind is what a job asks for.
type Kind string

// The kinds.
const (
	Standing Kind = "standing"
	Filling  Kind = "filling"
	Other    Kind = "other"
)

// Causes of lost time.
const (
	CauseWaiting = "waiting for a place" // ready, and not started
	CausePaced   = "slowed"              // at less than full pace, as time of full pace
	CauseRedone  = "done again"          // runs that were stopped, failed or lapsed
	CauseAway    = "not at work"         // a standing task between two runs
	CauseAlone   = "over target, nothing beside"
	causeOver    = "over target, beside " // and the image at work there
)

// Job is the account of one job, in task-seconds for a standing one, else in seconds on its
// critical path: of each step, the task that ended last.
type Job struct {
	ID       string
	Kind     Kind
	Arrived  time.Time
	Took     time.Duration // to the last end, 0 for a standing or unfinished one
	Worked   time.Duration // at full pace, on the critical path
	Lost     map[string]time.Duration
	Finished bool
}

// Total returns all that the job lost.
func (j *Job) Total() time.Duration {
	sum := time.Duration(0)
	for _, d := range j.Lost {
		sum += d
	}
	return sum
}

// Account is what a log tells of all jobs.
type Account struct {
	Jobs []*Job // by arrival
	// Path is what the way from a call to its tasks' ends took, by kind and stage.
	Path Path
	// Over is the task-seconds over target, by two seconds from the first line.
	Over  map[int]time.Duration
	Begun time.Time
}

// span is one run of a task.
type span struct {
	from, to time.Time
	how      string
	paces    []pacePoint
}

type pacePoint struct {
	at      time.Time
	percent int
}

// spellKey is the served tasks of one job and image on one worker.
type spellKey struct{ worker, job, image string }

// collector gathers what belongs together from the lines.
type collector struct {
	jobs  map[string]*Job
	runs  map[string][]*span // by task
	open  map[spellKey]line  // spells that have begun and not ended
	out   *Account
	tasks map[string][]string // of a job, in order of their first start
}

// Window is the span by which time over target is summed up.
const Window = 2 * time.Second

// Accounts returns the account of a log.
func (l *Log) Accounts() *Account {
	lines := l.sorted()
	c := &collector{jobs: make(map[string]*Job), runs: make(map[string][]*span), open: make(map[spellKey]line),
		tasks: make(map[string][]string), out: &Account{Over: make(map[int]time.Duration), Path: make(Path)}}
	if len(lines) == 0 {
		return c.out
	}
	c.out.Begun = lines[0].Time
	for i := range lines {
		c.take(&lines[i])
	}
	end := lines[len(lines)-1].Time
	for key, s := range c.open {
		c.closeSpell(key, earliest(end, s.Time.Add(untoldSpell)))
	}
	for _, j := range c.jobs {
		c.settle(j)
		c.out.Jobs = append(c.out.Jobs, j)
	}
	slices.SortFunc(c.out.Jobs, func(a, b *Job) int { return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.ID, b.ID)) })
	return c.out
}

func (c *collector) take(x *line) {
	switch x.Message {
	case tookJob:
		id := jobOf(x.Job)
		if c.jobs[id] == nil {
			c.jobs[id] = &Job{ID: id, Kind: kindOf(x.Steps), Arrived: x.Time, Lost: make(map[string]time.Duration)}
			c.out.Path.took(c.jobs[id].Kind, x)
		}
	case started:
		task := string(x.Task)
		if len(c.runs[task]) == 0 {
			c.tasks[jobOf(task)] = append(c.tasks[jobOf(task)], task)
		}
		c.runs[task] = append(c.runs[task], &span{from: x.Time})
		if j := c.jobs[jobOf(task)]; j != nil {
			c.out.Path.started(j.Kind, x)
		}
	case ended:
		if s := c.running(string(x.Task)); s != nil {
			s.to, s.how = x.Time, x.How
			if j := c.jobs[jobOf(string(x.Task))]; j != nil && s.how == "done" {
				c.out.Path.add(j.Kind, StageWork, s.to.Sub(s.from))
			}
		}
	case paced:
		if s := c.running(string(x.Task)); s != nil {
			s.paces = append(s.paces, pacePoint{x.Time, x.Percent})
		}
	case overBegan:
		c.open[spellKey{x.Worker, x.Job, x.Image}] = *x
	case overEnded:
		c.closeSpell(spellKey{x.Worker, x.Job, x.Image}, x.Time)
	}
}

// running returns a task's run that has not ended, nil for none.
func (c *collector) running(task string) *span {
	list := c.runs[task]
	if len(list) == 0 || !list[len(list)-1].to.IsZero() {
		return nil
	}
	return list[len(list)-1]
}

// untoldSpell is how long a spell counts whose end no line tells, since the process that
// would have told is gone: filling runs are stopped after a second.
const untoldSpell = time.Second

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// closeSpell ends an open spell of a job's tasks over their target.
func (c *collector) closeSpell(key spellKey, at time.Time) {
	s, open := c.open[key]
	if !open {
		return
	}
	delete(c.open, key)
	tasks := time.Duration(max(s.Runs, 1))
	for from := s.Time; from.Before(at); {
		w := int(from.Sub(c.out.Begun) / Window)
		to := earliest(at, c.out.Begun.Add(time.Duration(w+1)*Window))
		c.out.Over[w] += tasks * to.Sub(from)
		from = to
	}
	j := c.jobs[key.job]
	if j == nil {
		return
	}
	cause := CauseAlone
	if s.Beside != "" {
		cause = causeOver + s.Beside
	}
	j.Lost[cause] += tasks * at.Sub(s.Time)
}

func kindOf(steps string) Kind {
	switch {
	case strings.Contains(steps, " standing"):
		return Standing
	case strings.Contains(steps, " fills"):
		return Filling
	}
	return Other
}

// settle adds up where a job's time went.
func (c *collector) settle(j *Job) {
	if j.Kind == Standing {
		c.settleStanding(j)
		return
	}
	ready := j.Arrived
	j.Finished = len(c.tasks[j.ID]) > 0
	steps := c.steps(j.ID)
	for _, name := range slices.SortedFunc(maps.Keys(steps), stepName.compare) {
		end, task, done := c.last(steps[name])
		if !done {
			j.Finished = false
			return
		}
		c.settleTask(j, ready, c.runs[task])
		if end.After(ready) {
			ready = end
		}
	}
	if j.Finished {
		j.Took = ready.Sub(j.Arrived)
	}
}

// steps returns the tasks of a job by step.
func (c *collector) steps(job string) map[stepName][]string {
	out := make(map[stepName][]string)
	for _, task := range c.tasks[job] {
		if step, ok := stepOf(task); ok {
			out[step] = append(out[step], task)
		}
	}
	return out
}

// last returns the task that ended last, and whether all have ended done.
func (c *collector) last(tasks []string) (end time.Time, task string, done bool) {
	for _, t := range tasks {
		r := c.runs[t][len(c.runs[t])-1]
		if r.to.IsZero() || r.how != "done" {
			return time.Time{}, "", false
		}
		if r.to.After(end) {
			end, task = r.to, t
		}
	}
	return end, task, true
}

// settleTask adds the way of one task, ready at a time, to its job's account.
func (c *collector) settleTask(j *Job, ready time.Time, runs []*span) {
	for _, r := range runs {
		if r.from.After(ready) {
			j.Lost[CauseWaiting] += r.from.Sub(ready)
		}
		if r.to.IsZero() {
			continue
		}
		slowed := r.slowed()
		j.Lost[CausePaced] += slowed
		if r.how == "done" {
			j.Worked += r.to.Sub(r.from) - slowed
		} else {
			j.Lost[CauseRedone] += r.to.Sub(r.from) - slowed
		}
		ready = r.to
	}
}

// slowed returns the work that a run's paces cost, as time at full pace.
func (s *span) slowed() time.Duration {
	const full = 100
	lost, percent, from := time.Duration(0), full, s.from
	for _, p := range append(slices.Clone(s.paces), pacePoint{s.to, full}) {
		lost += p.at.Sub(from) * time.Duration(full-percent) / full
		percent, from = p.percent, p.at
	}
	return lost
}

// settleStanding adds up how long a standing job's tasks were not at work between two runs.
func (c *collector) settleStanding(j *Job) {
	for _, task := range c.tasks[j.ID] {
		runs := c.runs[task]
		if first := runs[0].from.Sub(j.Arrived); first > 0 {
			j.Lost[CauseWaiting] += first
		}
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].from.Sub(runs[i-1].to); !runs[i-1].to.IsZero() && gap > 0 {
				j.Lost[CauseAway] += gap
			}
		}
	}
}

// Sum is what one cause cost the jobs of a kind.
type Sum struct {
	Kind  Kind
	Cause string
	Lost  time.Duration
	Jobs  int
}

// Sums returns what was lost by kind and cause, the dearest first.
func (a *Account) Sums() []Sum {
	type key struct {
		kind  Kind
		cause string
	}
	by := make(map[key]*Sum)
	for _, j := range a.Jobs {
		for cause, d := range j.Lost {
			if d <= 0 {
				continue
			}
			k := key{j.Kind, cause}
			if by[k] == nil {
				by[k] = &Sum{Kind: j.Kind, Cause: cause}
			}
			by[k].Lost += d
			by[k].Jobs++
		}
	}
	out := make([]Sum, 0, len(by))
	for _, s := range by {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(x, y Sum) int {
		return cmp.Or(-cmp.Compare(x.Lost, y.Lost), strings.Compare(string(x.Kind), string(y.Kind)), strings.Compare(x.Cause, y.Cause))
	})
	return out
}

// Job returns one job's account, nil if the log has not its arrival.
func (a *Account) Job(id string) *Job {
	i := slices.IndexFunc(a.Jobs, func(j *Job) bool { return j.ID == id })
	if i < 0 {
		return nil
	}
	return a.Jobs[i]
}
