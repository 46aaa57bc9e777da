package control

import (
	"maps"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/ablation"
	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// leastHeadroom is what filling work leaves a served image.
	leastHeadroom = 1.0
	// defaultHeadroom stands in until a served image was read.
	defaultHeadroom = 2.0
	// leastBound keeps a served image that is near its target by itself from
	// having no bound at all.
	leastBound = 0.1
	// crewMemory is how long what was told of a worker's served tasks counts: four
	// renewals.
	crewMemory = 3 * time.Second
	// readingAgain is the least time between two readings of which both count: closer
	// they cover the same half second.
	readingAgain = stepLeast
	// levelMemory is the number of readings after which an older one has little weight
	// in the level of a served image's own headroom: a swing of 14 s on one worker.
	levelMemory = 30
	// lowDeviations is how far under its mean an image's usual low is. Nearer to the mean,
	// served tasks are over their target for longer, with no more filling jobs in time.
	lowDeviations = 1.0
	// runStay is how far ahead a crew's headroom must bear a run that is placed beside
	// it: most filling runs are done by then.
	runStay = 3 * time.Second
	// forecastDeviations is how many deviations of the forecast are kept. What comes out
	// worse the pace takes up, and a margin leaves filling work waiting.
	forecastDeviations = 0.2
	// leastVariance is of an image's headroom until it has been seen to swing.
	leastVariance = 0.1
)

// crewKey is the served tasks of one job and image on a worker. Others of the image have
// a load of their own.
type crewKey struct{ image, job string }

// crew is what was told of them.
type crew struct {
	last Reading // the last one that a step is counted from
	told time.Time
	// bears is the headroom that filling work may take of them.
	bears float64
	wave  *interference.Wave
	begun time.Time // zero of the agent's clock, on the leader's
}

// level is the mean and spread of a headroom, and forgets.
type level struct{ mean, square, n float64 }

func (l *level) add(v float64) {
	l.n = math.Min(l.n+1, levelMemory)
	l.mean += (v - l.mean) / l.n
	l.square += (v*v - l.square) / l.n
}

func (l *level) variance() float64 { return math.Max(l.square-l.mean*l.mean, 0) }

// low is what it rarely falls below.
func (l *level) low() float64 { return l.mean - lowDeviations*math.Sqrt(l.variance()) }

// headrooms are what is known of the headroom that served tasks have with nothing beside
// them: by image how it usually is, and by crew how it swings. It is not safe for
// concurrent use.
type headrooms struct {
	without ablation.Set
	periods interference.Periods        // of all crews' swings
	levels  map[string]*level           // by served image
	crews   map[string]map[crewKey]crew // by worker
}

func newHeadrooms(without ablation.Set) headrooms {
	return headrooms{without: without, levels: make(map[string]*level), crews: make(map[string]map[crewKey]crew)}
}

// note takes in a reading of a crew, and returns the one that a step to it is counted from,
// nil for none, and the time between them on the agent's clock.
func (h *headrooms) note(worker string, r *Reading, now time.Time) (last *Reading, over time.Duration) {
	crews := h.crews[worker]
	if crews == nil {
		crews = make(map[crewKey]crew)
		h.crews[worker] = crews
	}
	key := crewKey{r.Image, r.Job}
	s, seen := crews[key]
	if seen {
		before := s.last
		last, over = &before, time.Duration(r.AtMS-s.last.AtMS)*time.Millisecond
	}
	if !seen || over >= readingAgain || over < 0 {
		s.last = *r
	}
	s.told, s.bears = now, r.Bears
	h.noteOwn(&s, r, now, !seen || over < 0)
	crews[key] = s
	return last, over
}

// noteOwn takes in a crew's own headroom. A new crew, or one that another life of its agent
// tells of, begins with what is known of its image.
func (h *headrooms) noteOwn(s *crew, r *Reading, now time.Time, anew bool) {
	l := h.levels[r.Image]
	if l == nil {
		l = &level{}
		h.levels[r.Image] = l
	}
	l.add(r.Own)
	at := time.Duration(r.AtMS) * time.Millisecond
	if anew {
		s.begun = now.Add(-at)
		s.wave = interference.NewWave(now, l.mean, math.Max(l.variance(), leastVariance))
	}
	s.wave.Read(s.begun.Add(at), r.Own, &h.periods)
}

// forget drops what was told so long ago that it doesn't count any more: tasks that ended,
// and workers that are gone, however they went. Each life of a worker has a name of its own,
// so what is kept would grow with every restart.
func (h *headrooms) forget(now time.Time) {
	for worker, crews := range h.crews {
		maps.DeleteFunc(crews, func(_ crewKey, s crew) bool { return now.Sub(s.told) > crewMemory })
		if len(crews) == 0 {
			delete(h.crews, worker)
		}
	}
}

// bound is the headroom that a run placed now may take of a served image on a worker: the
// less of what the forecast of its crews leaves while the run stays, and of what the agent
// says that they bear now. By the usual low alone, many runs have to be slowed at their start.
func (h *headrooms) bound(worker, serving string, now time.Time) float64 {
	bound := h.usual(serving)
	if least, known := h.foreseen(worker, serving, now); known && !h.without.Foresight {
		bound = least - leastHeadroom
	}
	if bears, told := h.agentsWord(worker, serving, now); told && !h.without.AgentsWord {
		bound = math.Min(bound, bears)
	}
	return math.Max(leastBound, bound)
}

// bearsNow is the headroom that the served tasks bear at the moment.
func (h *headrooms) bearsNow(worker, serving string, now time.Time) float64 {
	bound, told := h.agentsWord(worker, serving, now)
	if !told {
		bound = h.usual(serving)
	}
	return math.Max(leastBound, bound)
}

// usual is what the image's usual low leaves.
func (h *headrooms) usual(serving string) float64 {
	if l := h.levels[serving]; l != nil {
		return l.low() - leastHeadroom
	}
	return defaultHeadroom - leastHeadroom
}

// foreseen is the least headroom of a worker's crews of an image while a run stays.
func (h *headrooms) foreseen(worker, serving string, now time.Time) (least float64, known bool) {
	least = math.Inf(1)
	for key, s := range h.crews[worker] {
		if key.image == serving && now.Sub(s.told) <= crewMemory {
			least, known = math.Min(least, s.wave.Least(now, runStay, forecastDeviations, &h.periods)), true
		}
	}
	return least, known
}

// agentsWord is what the agent says that its tasks of the image bear now.
func (h *headrooms) agentsWord(worker, serving string, now time.Time) (bears float64, told bool) {
	bears = math.Inf(1)
	for key, s := range h.crews[worker] {
		if key.image == serving && now.Sub(s.told) <= crewMemory {
			bears, told = math.Min(bears, s.bears), true
		}
	}
	return bears, told
}
