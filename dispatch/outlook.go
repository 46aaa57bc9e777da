package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// Outlook is what a job can still come to. The order of the values is the order
// in which jobs of one priority are served.
type Outlook uint8

// The outlooks.
const (
	// Begun has work done or at work and can still meet its objective.
	Begun Outlook = iota
	// Fresh has not begun and can still meet its objective.
	Fresh
	// Late can't meet its objective, but is worth a part until lateFactor
	// times that.
	Late
	// Overdue is worth nothing to its caller any more. It is still owed.
	Overdue
)

// lateFactor is how many times its objective a job may take and still be worth
// something to its caller.
const lateFactor = 3

// adviceWorkers is how many workers a question about a step names, as a rule.
const adviceWorkers = 30

// forecast is a job's deadline and the time that its longest remaining chain of
// steps takes.
type forecast struct {
	deadline  time.Duration // from its acceptance
	late      time.Duration
	remaining time.Duration
	work      float64 // processor-milliseconds that are left
	begun     bool
}

// Estimates turns declared durations into expected ones.
type Estimates struct {
	Durations Expectation
	// Measured returns the mean duration of a group's tasks that are done,
	// in ms, 0 for none. Tasks of a step are alike, so it beats any estimate.
	Measured func(jobs.GroupKey) float64
}

// Expectation tells how long a queue's task takes that is declared at estimateMS,
// in ms.
type Expectation interface {
	Expect(queue string, estimateMS int64) float64
}

func queueKey(j *jobs.Job) string { return j.Host + j.Prefix }

// taskMS is the expected duration of a group's tasks, and whether it was measured on
// the group itself.
func (e *Estimates) taskMS(j *jobs.Job, occurrence, step int) (ms float64, measured bool) {
	if e.Measured != nil {
		if ms := e.Measured(jobs.GroupKey{Job: j.ID, Occurrence: occurrence, Step: step}); ms > 0 {
			return ms, true
		}
	}
	return e.Durations.Expect(queueKey(j), j.Spec.Steps[step].EstimateMS), false
}

// forecast looks ahead for one occurrence of a job.
func (e *Estimates) forecast(j *jobs.Job, q *queues.Queue, occurrence int) forecast {
	steps := j.Spec.Steps
	total, left := make([]float64, len(steps)), make([]float64, len(steps))
	var f forecast
	chain, rest := 0.0, 0.0
	for i := range steps {
		ms, _ := e.taskMS(j, occurrence, i)
		open, placed := j.Group(occurrence, i).Open()
		own := 0.0
		if open > 0 {
			own = ms
		}
		if placed > 0 || open < steps[i].Count {
			f.begun = true
		}
		if placed > 0 && placed == open {
			own = ms / 2 // at work, on average half done
		}
		for _, d := range steps[i].DependsOn {
			total[i], left[i] = max(total[i], total[d]), max(left[i], left[d])
		}
		total[i] += ms
		left[i] += own
		if q.Advice != nil {
			total[i] += q.Advice.TookMS(adviceWorkers)
			if open > placed {
				left[i] += q.Advice.TookMS(adviceWorkers)
			}
		}
		chain, rest = max(chain, total[i]), max(rest, left[i])
		f.work += float64(open) * own * float64(steps[i].Need.MilliCPU) / 1000
	}
	objective := q.Slack*chain + float64(q.TargetMS)
	f.deadline = ms(objective)
	f.late = ms(lateFactor * objective)
	f.remaining = ms(rest)
	return f
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// outlook tells what a job can still come to, age after its acceptance.
func (f *forecast) outlook(age time.Duration) Outlook {
	switch done := age + f.remaining; {
	case done <= f.deadline && f.begun:
		return Begun
	case done <= f.deadline:
		return Fresh
	case done <= f.late:
		return Late
	}
	return Overdue
}
