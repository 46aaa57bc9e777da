package dispatch

import (
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/queues"
)

// DeadlineClass tells whether a job can still meet its objective. Jobs of one priority are served
// in the order of the values.
type DeadlineClass uint8

// The deadline classes.
const (
	// Started has tasks done or running and can still meet its objective.
	Started DeadlineClass = iota
	// NotStarted has no task done or running and can still meet its objective.
	NotStarted
	// Late can't meet its objective, but keeps part of its value until lateFactor times the
	// objective.
	Late
	// Overdue has no value to its caller any more. It must still be run.
	Overdue
)

// lateFactor is how many times its objective a job may take and still have value to its caller.
const lateFactor = 3

// typicalAdviceWorkers is how many workers a request for advice usually names.
const typicalAdviceWorkers = 30

// forecast holds a job's deadline and the expected time of its longest remaining chain of steps.
type forecast struct {
	deadline  time.Duration // counted from its acceptance, like late
	late      time.Duration
	remaining time.Duration
	work      float64 // remaining, in processor-milliseconds
	started   bool
}

// Estimates turns declared durations into expected ones.
type Estimates struct {
	Durations Expectation
	// Measured returns the mean duration of a group's finished tasks, in ms, 0 for none. Tasks of
	// a step are alike, so it is more accurate than any estimate.
	Measured func(jobs.GroupKey) float64
}

// Expectation predicts durations of a queue's tasks. Expect returns the expected duration, in ms,
// of a task with a declared estimate of estimateMS.
type Expectation interface {
	Expect(queue string, estimateMS int64) float64
}

func queueKey(j *jobs.Job) string { return j.Host + j.Prefix }

// taskMS returns the expected duration of a group's tasks in ms, and whether it was measured on
// the group itself.
func (e *Estimates) taskMS(j *jobs.Job, occurrence, step int) (ms float64, measured bool) {
	if e.Measured != nil {
		if ms := e.Measured(jobs.GroupKey{Job: j.ID, Occurrence: occurrence, Step: step}); ms > 0 {
			return ms, true
		}
	}
	return e.Durations.Expect(queueKey(j), j.Spec.Steps[step].EstimateMS), false
}

// forecast predicts one occurrence of a job.
func (e *Estimates) forecast(j *jobs.Job, q *queues.Queue, occurrence int) forecast {
	steps := j.Spec.Steps
	total, left := make([]float64, len(steps)), make([]float64, len(steps))
	var f forecast
	chain, remainingChain := 0.0, 0.0
	for i := range steps {
		ms, _ := e.taskMS(j, occurrence, i)
		open, placed := j.Group(occurrence, i).Open()
		remaining := 0.0
		if open > 0 {
			remaining = ms
		}
		if placed > 0 || open < steps[i].Count {
			f.started = true
		}
		if placed > 0 && placed == open {
			remaining = ms / 2 // all are running, on average half done
		}
		for _, d := range steps[i].DependsOn {
			total[i], left[i] = max(total[i], total[d]), max(left[i], left[d])
		}
		total[i] += ms
		left[i] += remaining
		if q.Advice != nil {
			total[i] += q.Advice.AnswerMS(typicalAdviceWorkers)
			if open > placed {
				left[i] += q.Advice.AnswerMS(typicalAdviceWorkers)
			}
		}
		chain, remainingChain = max(chain, total[i]), max(remainingChain, left[i])
		f.work += float64(open) * remaining * float64(steps[i].Need.MilliCPU) / 1000
	}
	objective := q.Slack*chain + float64(q.TargetMS)
	f.deadline = ms(objective)
	f.late = ms(lateFactor * objective)
	f.remaining = ms(remainingChain)
	return f
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// class returns the deadline class of a job whose age since its acceptance is given.
func (f *forecast) class(age time.Duration) DeadlineClass {
	switch done := age + f.remaining; {
	case done <= f.deadline && f.started:
		return Started
	case done <= f.deadline:
		return NotStarted
	case done <= f.late:
		return Late
	}
	return Overdue
}
