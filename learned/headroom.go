package learned

import (
	"maps"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// minHeadroom is the headroom that filling work must leave to a served image.
	minHeadroom = 1.0
	// defaultHeadroom is assumed until there is a reading of a served image.
	defaultHeadroom = 2.0
	// minBound keeps a bound above zero for a served image that is close to its target even
	// without filling work.
	minBound = 0.1
	// groupTTL is how long a report about a worker's served tasks stays valid: four renewals.
	groupTTL = 3 * time.Second
	// minReadingGap is the least time between two readings that both count: closer ones cover the
	// same half second.
	minReadingGap = minStep
	// levelWindow is the number of readings after which an older one has little weight in the
	// mean of an image's own headroom: it covers a swing of 14 s on one worker.
	levelWindow = 30
	// lowDeviations is how many standard deviations below the mean an image's usual low is. A
	// smaller value keeps served tasks over their target for longer without getting more filling
	// jobs done in time.
	lowDeviations = 1.0
	// forecastWindow is how far ahead a serving group must have headroom for a run placed beside
	// it: most filling runs have ended by then.
	forecastWindow = 3 * time.Second
	// forecastDeviations is the safety margin of the forecast in standard deviations. Pace
	// control absorbs what turns out worse, and a larger margin leaves filling work waiting.
	forecastDeviations = 0.2
	// minVariance is the assumed variance of an image's headroom until a swing has been observed.
	minVariance = 0.1
)

// servingGroupKey identifies the served tasks of one job and image on a worker. Other jobs of the
// image have their own load.
type servingGroupKey struct{ image, job string }

// servingGroup is the latest report about a serving group.
type servingGroup struct {
	last       Reading // the base of the next step
	reportedAt time.Time
	// spare is the headroom that filling work may take.
	spare     float64
	forecast  *interference.HeadroomForecast
	clockZero time.Time // zero of the agent's clock on the leader's clock
}

// level is a running mean and spread of a headroom. Past levelWindow readings the weight of older
// ones decays exponentially.
type level struct{ mean, square, n float64 }

func (l *level) add(v float64) {
	l.n = math.Min(l.n+1, levelWindow)
	l.mean += (v - l.mean) / l.n
	l.square += (v*v - l.square) / l.n
}

func (l *level) variance() float64 { return math.Max(l.square-l.mean*l.mean, 0) }

// low returns a value that the headroom rarely falls below.
func (l *level) low() float64 { return l.mean - lowDeviations*math.Sqrt(l.variance()) }

// headrooms tracks the headroom that served tasks have without filling work: the usual level by
// image, and its swing by serving group. It is not safe for concurrent use.
type headrooms struct {
	without ablation.Set
	periods interference.Periods                        // of the swings of all serving groups
	levels  map[string]*level                           // by served image
	groups  map[string]map[servingGroupKey]servingGroup // by worker
}

func newHeadrooms(without ablation.Set) headrooms {
	return headrooms{without: without, levels: make(map[string]*level), groups: make(map[string]map[servingGroupKey]servingGroup)}
}

// record stores a reading of a serving group. It returns the earlier reading from which the step to
// this one is counted, nil for none, and the time between the two on the agent's clock.
func (h *headrooms) record(worker string, r *Reading, now time.Time) (last *Reading, over time.Duration) {
	groups := h.groups[worker]
	if groups == nil {
		groups = make(map[servingGroupKey]servingGroup)
		h.groups[worker] = groups
	}
	key := servingGroupKey{r.Image, r.Job}
	s, seen := groups[key]
	if seen {
		before := s.last
		last, over = &before, time.Duration(r.AtMS-s.last.AtMS)*time.Millisecond
	}
	if !seen || over >= minReadingGap || over < 0 {
		s.last = *r
	}
	s.reportedAt, s.spare = now, r.SpareHeadroom
	h.recordOwn(&s, r, now, !seen || over < 0)
	groups[key] = s
	return last, over
}

// recordOwn stores a serving group's own headroom. A new group, or one reported by a restarted
// agent, starts from the level of its image.
func (h *headrooms) recordOwn(s *servingGroup, r *Reading, now time.Time, reset bool) {
	l := h.levels[r.Image]
	if l == nil {
		l = &level{}
		h.levels[r.Image] = l
	}
	l.add(r.Own)
	at := time.Duration(r.AtMS) * time.Millisecond
	if reset {
		s.clockZero = now.Add(-at)
		s.forecast = interference.NewHeadroomForecast(now, l.mean, math.Max(l.variance(), minVariance))
	}
	s.forecast.Read(s.clockZero.Add(at), r.Own, &h.periods)
}

// forget drops serving groups that have not been reported recently: tasks that ended, and workers
// that went away for any reason. Each incarnation of a worker has its own id, so entries would
// otherwise accumulate with every restart.
func (h *headrooms) forget(now time.Time) {
	for worker, groups := range h.groups {
		maps.DeleteFunc(groups, func(_ servingGroupKey, s servingGroup) bool { return now.Sub(s.reportedAt) > groupTTL })
		if len(groups) == 0 {
			delete(h.groups, worker)
		}
	}
}

// bound returns the headroom that a run placed now may take from a served image on a worker: the
// lesser of what the forecast of its serving groups leaves within forecastWindow and of what the
// agent reports as spare now. The usual low alone would admit many runs that have to be slowed
// down right after their start.
func (h *headrooms) bound(worker, serving string, now time.Time) float64 {
	bound := h.usualSpare(serving)
	if least, known := h.forecast(worker, serving, now); known && !h.without.Foresight {
		bound = least - minHeadroom
	}
	if spare, reported := h.reportedSpare(worker, serving, now); reported && !h.without.AgentsWord {
		bound = math.Min(bound, spare)
	}
	return math.Max(minBound, bound)
}

// spareNow returns the headroom that the served tasks can spare at the moment.
func (h *headrooms) spareNow(worker, serving string, now time.Time) float64 {
	bound, reported := h.reportedSpare(worker, serving, now)
	if !reported {
		bound = h.usualSpare(serving)
	}
	return math.Max(minBound, bound)
}

// usualSpare returns the headroom that the image's usual low leaves.
func (h *headrooms) usualSpare(serving string) float64 {
	if l := h.levels[serving]; l != nil {
		return l.low() - minHeadroom
	}
	return defaultHeadroom - minHeadroom
}

// forecast returns the least headroom of a worker's serving groups of an image within
// forecastWindow.
func (h *headrooms) forecast(worker, serving string, now time.Time) (least float64, known bool) {
	least = math.Inf(1)
	for key, s := range h.groups[worker] {
		if key.image == serving && now.Sub(s.reportedAt) <= groupTTL {
			least, known = math.Min(least, s.forecast.Min(now, forecastWindow, forecastDeviations, &h.periods)), true
		}
	}
	return least, known
}

// reportedSpare returns the spare headroom that the agent reports for its tasks of the image.
func (h *headrooms) reportedSpare(worker, serving string, now time.Time) (spare float64, reported bool) {
	spare = math.Inf(1)
	for key, s := range h.groups[worker] {
		if key.image == serving && now.Sub(s.reportedAt) <= groupTTL {
			spare, reported = math.Min(spare, s.spare), true
		}
	}
	return spare, reported
}
