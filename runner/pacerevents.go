package runner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// events are what a pacer's readings showed and what it concluded from them, for the log.
type events struct {
	violations []violation // began or ended
	commands   []commandChange
	exceeded   []exceededPace
	intervals  []time.Duration // between two readings that counted
}

// commandChange is a change of the rule that the paces follow, or of the verdict on the worker.
type commandChange struct {
	from, to   command
	degraded   bool
	worstRatio float64 // the highest tail as a fraction of its target
	processors float64 // in use by filling runs
}

// exceededPace is a filling run that uses more processors than its pace allows.
type exceededPace struct {
	run     runKey
	percent int     // the pace that was requested
	used    float64 // percent of its processors at full pace
}

const (
	// paceSettleTime is the time from a pace call until a reading shows its effect alone: 0.1 s
	// until it takes effect, half a second that the reading covers, and its way here.
	paceSettleTime = 750 * time.Millisecond
	// paceTolerance is by how much, in percent, a run's use may exceed its pace. The use is
	// measured to a twentieth.
	paceTolerance = 20
	// lateReading is the time between two readings from which the gap is logged. Served tasks
	// may be over their target meanwhile without an effect on the paces.
	lateReading = time.Second
)

// checkPaces requests the pace again of filling runs that work faster than requested: a call that
// went unanswered may have been carried out after a newer one.
func (p *pacer) checkPaces(now time.Time, sc scan) {
	for _, x := range sc.filling {
		key := runKey{x.Task, x.Run}
		r, known := p.asked[key]
		need := float64(sc.need[key])
		if !known || r.percent == unconfirmed || r.percent == fullPace || now.Sub(r.at) < paceSettleTime || need <= 0 {
			continue
		}
		if used := x.Measured / need * fullPace; used > float64(r.percent+paceTolerance) {
			p.events.exceeded = append(p.events.exceeded, exceededPace{key, r.percent, used})
			p.asked[key] = request{percent: unconfirmed}
		}
	}
}

// takeEvents returns the events since the last call.
func (p *pacer) takeEvents() events {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.events
	p.events = events{}
	return out
}

// logEvents logs what the last readings showed.
func (s *session) logEvents(e events) {
	for _, v := range e.violations {
		s.logViolation(v)
	}
	for _, c := range e.commands {
		logrus.WithFields(logrus.Fields{"worker": s.worker, "from": c.from.String(), "to": c.to.String(), "degraded": c.degraded,
			"tail_of_target": round(c.worstRatio), "processors": round(c.processors)}).Info("runner: The rule for the paces changed.")
	}
	for _, d := range e.intervals {
		readingIntervalSeconds.Update(d.Seconds())
		if d >= lateReading {
			logrus.WithFields(logrus.Fields{"worker": s.worker, "gap_ms": d.Milliseconds()}).Warn("runner: The worker's readings were late.")
		}
	}
	for _, x := range e.exceeded {
		exceededPacesTotal.Inc()
		logrus.WithFields(logrus.Fields{"worker": s.worker, "task": x.run.task.String(), "run": x.run.run, "percent": x.percent, "used_percent": round(x.used)}).
			Warn("runner: A filling run works faster than its pace.")
	}
}

// logViolation logs that a serving task exceeds its target or no longer does.
func (s *session) logViolation(v violation) {
	l := logrus.WithFields(logrus.Fields{"worker": s.worker, "task": v.run.task.String(), "run": v.run.run, "image": v.image, "beside": v.culprit})
	if v.ended.IsZero() {
		l.WithFields(logrus.Fields{"tail_ms": v.tailMS, "group_tail_ms": v.groupTailMS, "target_ms": v.target, "own_headroom": round(v.own)}).
			Info("runner: A served task is over its target.")
		return
	}
	lasted := v.ended.Sub(v.began)
	if v.culprit == "" {
		overAloneSeconds.Update(lasted.Seconds())
	} else {
		overBesideSeconds.Update(lasted.Seconds())
	}
	l.WithFields(logrus.Fields{"lasted_ms": lasted.Milliseconds(), "readings": v.readings, "group_within": v.hidden}).
		Info("runner: A served task is within its target again.")
}

var (
	overBesideSeconds      = metrics.NewHistogram(`waxwinghaven_served_over_target_seconds{beside="filling"}`)
	overAloneSeconds       = metrics.NewHistogram(`waxwinghaven_served_over_target_seconds{beside="nothing"}`)
	readingIntervalSeconds = metrics.NewHistogram(`waxwinghaven_worker_reading_interval_seconds`)
	exceededPacesTotal     = metrics.NewCounter(`waxwinghaven_paces_exceeded_total`)
)
