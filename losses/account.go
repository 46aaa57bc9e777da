package losses

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of a job's tasks.
type Kind string

// The kinds.
const (
	Standing Kind = "standing"
	Filling  Kind = "filling"
	Other    Kind = "other"
)

// Causes of lost time.
const (
	CauseWaiting     = "waiting for a place" // ready, but not started
	CausePaced       = "slowed"              // by reduced pace, as time at full pace
	CauseRedone      = "done again"          // in runs that were stopped, failed or lapsed
	CauseUnavailable = "not at work"         // of a standing task, between two runs
	CauseOverAlone   = "over target, nothing beside"
	causeOverBeside  = "over target, beside " // followed by the image that ran on the same worker
)

// Job is the account of one job: in task-seconds for a standing job, else in seconds on its
// critical path, which consists of the task of each step that ended last.
type Job struct {
	ID       string
	Kind     Kind
	Arrived  time.Time
	Took     time.Duration // from arrival to the last end, 0 for a standing or unfinished job
	Worked   time.Duration // on the critical path, as time at full pace
	Lost     map[string]time.Duration
	Finished bool
}

// Total returns the job's lost time over all causes.
func (j *Job) Total() time.Duration {
	sum := time.Duration(0)
	for _, d := range j.Lost {
		sum += d
	}
	return sum
}

// Account holds the accounts of all jobs in a log.
type Account struct {
	Jobs []*Job // by arrival
	// Path holds the latencies from a call to its tasks' ends, by kind and stage.
	Path Path
	// OverTarget is the time over target, summed over tasks, by the number of the Window
	// counted from the first line.
	OverTarget map[int]time.Duration
	Start      time.Time
}

// span is one run of a task.
type span struct {
	from, to time.Time
	outcome  string
	paces    []pacePoint
}

type pacePoint struct {
	at      time.Time
	percent int
}

// violationKey identifies a served task on a worker.
type violationKey struct{ worker, task string }

// collector gathers the lines of jobs and runs.
type collector struct {
	jobs  map[string]*Job
	runs  map[string][]*span    // by task
	open  map[violationKey]line // violations of the target that have begun and not ended
	out   *Account
	tasks map[string][]string // of a job, in order of their first start
}

// Window is the interval by which time over target is summed.
const Window = 2 * time.Second

// Accounts returns the account of a log.
func (l *Log) Accounts() *Account {
	lines := l.sorted()
	c := &collector{jobs: make(map[string]*Job), runs: make(map[string][]*span), open: make(map[violationKey]line),
		tasks: make(map[string][]string), out: &Account{OverTarget: make(map[int]time.Duration), Path: make(Path)}}
	if len(lines) == 0 {
		return c.out
	}
	c.out.Start = lines[0].Time
	for i := range lines {
		c.addLine(&lines[i])
	}
	end := lines[len(lines)-1].Time
	for key, s := range c.open {
		c.closeViolation(key, earliest(end, s.Time.Add(unclosedLimit)))
	}
	for _, j := range c.jobs {
		c.accountJob(j)
		c.out.Jobs = append(c.out.Jobs, j)
	}
	slices.SortFunc(c.out.Jobs, func(a, b *Job) int { return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.ID, b.ID)) })
	return c.out
}

func (c *collector) addLine(x *line) {
	switch x.Message {
	case msgJobAccepted:
		id := jobOf(x.Job)
		if c.jobs[id] == nil {
			c.jobs[id] = &Job{ID: id, Kind: kindOf(x.Steps), Arrived: x.Time, Lost: make(map[string]time.Duration)}
			c.out.Path.addCommit(c.jobs[id].Kind, x)
		}
	case msgRunStarted:
		task := string(x.Task)
		if len(c.runs[task]) == 0 {
			c.tasks[jobOf(task)] = append(c.tasks[jobOf(task)], task)
		}
		c.runs[task] = append(c.runs[task], &span{from: x.Time})
		if j := c.jobs[jobOf(task)]; j != nil {
			c.out.Path.addStart(j.Kind, x)
		}
	case msgRunEnded:
		if s := c.running(string(x.Task)); s != nil {
			s.to, s.outcome = x.Time, x.How
			if j := c.jobs[jobOf(string(x.Task))]; j != nil && s.outcome == "done" {
				c.out.Path.add(j.Kind, StageWork, s.to.Sub(s.from))
			}
		}
	case msgPaceSet:
		if s := c.running(string(x.Task)); s != nil {
			s.paces = append(s.paces, pacePoint{x.Time, x.Percent})
		}
	case msgOverTarget:
		c.open[violationKey{x.Worker, string(x.Task)}] = *x
	case msgWithinTarget:
		c.closeViolation(violationKey{x.Worker, string(x.Task)}, x.Time)
	}
}

// running returns the run of a task that has not ended, nil if there is none.
func (c *collector) running(task string) *span {
	list := c.runs[task]
	if len(list) == 0 || !list[len(list)-1].to.IsZero() {
		return nil
	}
	return list[len(list)-1]
}

// unclosedLimit is how long a violation counts whose end was not logged because the process
// died: the filling runs beside it are stopped a second later.
const unclosedLimit = time.Second

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// closeViolation ends the open violation of a served task, if there is one, and accounts for it.
func (c *collector) closeViolation(key violationKey, at time.Time) {
	s, open := c.open[key]
	if !open {
		return
	}
	delete(c.open, key)
	for from := s.Time; from.Before(at); {
		w := int(from.Sub(c.out.Start) / Window)
		to := earliest(at, c.out.Start.Add(time.Duration(w+1)*Window))
		c.out.OverTarget[w] += to.Sub(from)
		from = to
	}
	j := c.jobs[jobOf(key.task)]
	if j == nil {
		return
	}
	cause := CauseOverAlone
	if s.Beside != "" {
		cause = causeOverBeside + s.Beside
	}
	j.Lost[cause] += at.Sub(s.Time)
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

// accountJob attributes a job's time to its causes.
func (c *collector) accountJob(j *Job) {
	if j.Kind == Standing {
		c.accountStanding(j)
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
		c.accountTask(j, ready, c.runs[task])
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

// last returns the task that ended last, and whether all tasks were done.
func (c *collector) last(tasks []string) (end time.Time, task string, done bool) {
	for _, t := range tasks {
		r := c.runs[t][len(c.runs[t])-1]
		if r.to.IsZero() || r.outcome != "done" {
			return time.Time{}, "", false
		}
		if r.to.After(end) {
			end, task = r.to, t
		}
	}
	return end, task, true
}

// accountTask adds the runs of one task, which was ready at the given time, to its job's
// account.
func (c *collector) accountTask(j *Job, ready time.Time, runs []*span) {
	for _, r := range runs {
		if r.from.After(ready) {
			j.Lost[CauseWaiting] += r.from.Sub(ready)
		}
		if r.to.IsZero() {
			continue
		}
		slowed := r.slowed()
		j.Lost[CausePaced] += slowed
		if r.outcome == "done" {
			j.Worked += r.to.Sub(r.from) - slowed
		} else {
			j.Lost[CauseRedone] += r.to.Sub(r.from) - slowed
		}
		ready = r.to
	}
}

// slowed returns the time that a run lost to reduced pace, as time at full pace.
func (s *span) slowed() time.Duration {
	const full = 100
	lost, percent, from := time.Duration(0), full, s.from
	for _, p := range append(slices.Clone(s.paces), pacePoint{s.to, full}) {
		lost += p.at.Sub(from) * time.Duration(full-percent) / full
		percent, from = p.percent, p.at
	}
	return lost
}

// accountStanding adds the time that a standing job's tasks waited for their first run, and
// that they were unavailable between runs.
func (c *collector) accountStanding(j *Job) {
	for _, task := range c.tasks[j.ID] {
		runs := c.runs[task]
		if first := runs[0].from.Sub(j.Arrived); first > 0 {
			j.Lost[CauseWaiting] += first
		}
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].from.Sub(runs[i-1].to); !runs[i-1].to.IsZero() && gap > 0 {
				j.Lost[CauseUnavailable] += gap
			}
		}
	}
}

// Sum is the time that jobs of one kind lost to one cause.
type Sum struct {
	Kind  Kind
	Cause string
	Lost  time.Duration
	Jobs  int
}

// Sums returns the time lost by kind and cause, the largest first.
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

// Job returns one job's account, nil if the log has no line for its acceptance.
func (a *Account) Job(id string) *Job {
	i := slices.IndexFunc(a.Jobs, func(j *Job) bool { return j.ID == id })
	if i < 0 {
		return nil
	}
	return a.Jobs[i]
}
