package jobs

import "fmt"

// A task may crash each worker that starts it. Its runs then end with their worker, which
// reports nothing, and everything else there ends too: its siblings, tasks of other jobs
// and standing ones. Uncounted, it is started again without end and takes a worker down
// for some seconds each time. Counted alike for all that ran there, bystanders would be
// given up with it, though their jobs could be done.
//
// So each task has odds that it crashes its workers, by Bayes' rule: a crash raises the odds
// of those that had just begun most, of one among many suspects little, and of one that is
// alone much; a run that was at work for a while lowers them. A worker that crashes by itself
// is always one of the explanations. The arithmetic is in whole numbers, since all replicas
// must come to the same.
const (
	// one is the scale of odds.
	one = 1_000_000
	// priorOdds are those of a task that nothing is known of: one in a thousand.
	priorOdds = one / 1000
	// mostOdds bounds them, so that a long look the other way can still clear a task.
	mostOdds = 1000 * one
	// ownRate is how often a worker crashes by itself, in millionths a millisecond: once in
	// 20 s, as one does that flaps. Most do so far less; taken for less, tasks that were
	// started on a flapping worker would be given up.
	ownRate = 50
	// leastSpanMS is the shortest time within which a crash is taken to be known.
	leastSpanMS = 20
	// suspectOdds make a task a suspect, and aloneOdds one that has to be looked at alone, as
	// every suspect has once the next crash is the last for it: after a crash under fourteen
	// tasks alike that had just begun each has odds of 0.05, after one under two 0.14, and two
	// of the fourteen that were still together have even ones after the second.
	suspectOdds = one / 100
	aloneOdds   = one / 8
	// anywayLimit is the crashes after which a task is given up whatever its odds, unless
	// it was at work for a minute in between: so that one which takes long to crash its
	// worker isn't started for ever either.
	anywayLimit = 10
)

// certainOdds give a task up after two crashes. One crash that comes by chance while a task is
// looked at alone, which raises its odds 200 to 500 times, gives none up that had less than
// even odds.
const certainOdds = 300 * one

// givesUp reports whether a crash gives a task up, before being the odds that it was started
// with. Callers grant that after two crashes, and bear two more starts after the third; so the
// fifth should be the last for the one that did it, with whatever company it had before. From
// then on it is enough that the crash speaks against a suspect: one that takes up to a second
// to crash its worker stands out no more than that. Suspects are started alone by then (see
// Doubt): a crash that speaks for one, or that is the first to make it a suspect, may well be
// another's.
func (s *Suspicion) givesUp(before int64) bool {
	switch {
	case s.Crashes < 2:
		return false
	case s.atMost() <= mostInCompany:
		return s.Odds >= certainOdds
	case s.Crashes < anywayLimit:
		return before >= suspectOdds && s.Odds >= before
	}
	return true
}

// atMost is how many workers crashed under the task if all starts without an answer took
// effect: what is sent has to be bounded, not only what is known to have begun.
func (s *Suspicion) atMost() int { return s.Crashes + s.Unsure }

// mostInCompany is the crashes after which a suspect starts alone or not at all.
const mostInCompany = 4

// OnlyAlone reports whether a task may be started only where nothing else begins.
func (g *Group) OnlyAlone(k int) bool {
	return g.Doubt(k) == LookAlone && g.Suspicion(k).atMost() >= mostInCompany
}

// survival is the part, in millionths, of the tasks that crash their workers which have not
// done so by an age, in ms; between two of its points it falls in a straight line. It is a
// belief, not a measurement: most such tasks fail while they start, and some while they work.
var survival = []struct{ ageMS, left int64 }{
	{0, 1_000_000}, {20, 500_000}, {100, 135_000}, {1000, 22_000}, {10_000, 9_000}, {longAge, 5_000}, {longAge * 60, 1_000},
}

// surviving returns the part of such tasks that have not crashed their workers by an age.
func surviving(ageMS int64) int64 {
	for i := 1; i < len(survival); i++ {
		a, b := survival[i-1], survival[i]
		if ageMS < b.ageMS {
			return a.left - (a.left-b.left)*(ageMS-a.ageMS)/(b.ageMS-a.ageMS)
		}
	}
	return survival[len(survival)-1].left
}

// longAge clears a task of earlier crashes, in ms.
const longAge = 60_000

// Crash is the end of an incarnation that was in touch with its agent and did not leave.
type Crash struct {
	Worker string `msgpack:"w"`
	// SpanMS is the time within which it crashed: from when it was last heard until it had
	// certainly ended.
	SpanMS int64        `msgpack:"s"`
	Runs   []CrashedRun `msgpack:"r"`
}

// CrashedRun is a run that was at work when its worker crashed.
type CrashedRun struct {
	Task Ref    `msgpack:"t"`
	Run  uint32 `msgpack:"r"`
	// FromMS and ToMS are how long it had been at work when the worker was last heard, and
	// when it had certainly ended.
	FromMS int64 `msgpack:"f"`
	ToMS   int64 `msgpack:"u"`
	// Unsure says that its start went unanswered: it may not have been at work at all.
	Unsure bool `msgpack:"n,omitempty"`
}

// unsureShare is the part, in hundredths, of the starts without an answer on a worker that
// crashed which had taken effect by then.
const unsureShare = 30

// crashing returns the part, in millionths, of the tasks that crash their workers and had not
// by FromMS which did by ToMS.
func (r *CrashedRun) crashing() int64 {
	from := surviving(r.FromMS)
	part := one * (from - surviving(max(r.ToMS, r.FromMS+leastSpanMS))) / from
	if r.Unsure {
		part = part * unsureShare / 100
	}
	return part
}

// Suspicion is what is held against a task, or against a gang as a whole, since workers
// crashed under its runs.
type Suspicion struct {
	// Crashes are those of workers on which a run was at work for certain, and Unsure those of
	// workers on which its start had gone unanswered.
	Crashes int    `msgpack:"c"`
	Unsure  int    `msgpack:"u,omitempty"`
	Odds    int64  `msgpack:"o"` // in millionths
	Run     uint32 `msgpack:"r"` // newest run that was counted: each counts once
	Agent   string `msgpack:"a"` // beside the worker that crashed last
	// Awaits is the agent beside a worker that was lost under the task's last run, of which
	// it will tell with the next incarnation whether it crashed; "" for none.
	Awaits string `msgpack:"w,omitempty"`
}

// Doubt is how a task is to be started again.
type Doubt uint8

// The doubts about a task.
const (
	NoDoubt   Doubt = iota
	Suspect         // apart from other suspects, where few are harmed
	LookAlone       // where nothing else begins meanwhile
)

// Doubt returns how a task of the group is to be started.
func (g *Group) Doubt(k int) Doubt {
	s := g.Suspicion(k)
	switch {
	case s == nil || s.Odds < suspectOdds:
		return NoDoubt
	case s.Odds >= aloneOdds || s.atMost() >= mostInCompany:
		return LookAlone
	}
	return Suspect
}

func (g *Group) odds(k int) int64 {
	if s := g.Suspicion(k); s != nil {
		return s.Odds
	}
	return priorOdds
}

// Suspicion returns what is held against a task, nil for nothing. A gang's members are
// suspected together, since they start and end together.
func (g *Group) Suspicion(k int) *Suspicion {
	if g.Step().Gang {
		return g.Suspected
	}
	return g.Tasks[k].Suspected
}

// suspicion returns the same, to be changed.
func (g *Group) suspicion(k int) *Suspicion {
	p := &g.Tasks[k].Suspected
	if g.Step().Gang {
		p = &g.Suspected
	}
	if *p == nil {
		*p = &Suspicion{Odds: priorOdds}
	}
	return *p
}

// awaitWitness lets a task in doubt that may be one crash from its end wait for the word of
// an agent whose worker was lost under it: the lease may end before the next incarnation is
// there. Started at once, the task would crash one worker more than its callers bear.
func (s *State) awaitWitness(g *Group, k int, agent string) {
	if sus := g.Suspicion(k); g.Doubt(k) == LookAlone && sus.atMost() >= mostInCompany-1 {
		sus.Awaits = agent
	}
}

// witnessed ends the waiting for an agent that has registered.
func (s *State) witnessed(agent string) {
	for ref := range s.suspects {
		if sus := s.group(ref).Suspicion(ref.Index); sus.Awaits == agent {
			sus.Awaits = ""
		}
	}
}

// GivenUp is a task whose job ended since its workers crash.
type GivenUp struct {
	Task    Ref
	Crashes int
	Odds    int64 // in millionths
}

// accused is a task, or a gang as one, that was at work on a crashed worker.
type accused struct {
	run CrashedRun
	// group is nil for a task that is unknown or over. It may have done it too.
	group *Group
	// chance is the probability, in millionths, that it crashed the worker, by its odds so
	// far and its age.
	chance int64
}

// ApplyCrash weighs a worker's crash against the tasks that were at work there, and
// returns those that are given up for it. It may be told more than once.
func (s *State) ApplyCrash(c Crash, agent string, index uint64) (out []GivenUp) {
	list := s.accuse(c.Runs)
	total := ownRate * max(c.SpanMS, leastSpanMS)
	for i := range list {
		total += list[i].chance
	}
	for i := range list {
		a := &list[i]
		if a.group == nil {
			continue
		}
		g, k := a.group, a.run.Task.Index
		before := g.odds(k)
		if !a.weigh(total-a.chance, agent) {
			continue
		}
		s.reviewAccused(g, k)
		sus := g.Suspicion(k)
		if g.job.Phase.Over() || !sus.givesUp(before) {
			continue
		}
		g.job.Why = fmt.Sprintf("task %v was given up: %d workers crashed under it", a.run.Task, sus.Crashes)
		s.end(g.job, Failed, index)
		out = append(out, GivenUp{a.run.Task, sus.Crashes, sus.Odds})
	}
	return out
}

// accuse lists the tasks that were at work on a crashed worker, gangs as one.
func (s *State) accuse(runs []CrashedRun) []accused {
	var list []accused
	gangs := make(map[*Group]bool)
	for _, r := range runs {
		a := accused{run: r, group: s.group(r.Task)}
		odds := int64(priorOdds)
		if g := a.group; g != nil {
			if gangs[g] {
				continue
			}
			gangs[g] = g.Step().Gang
			odds = g.odds(r.Task.Index)
			if t := &g.Tasks[r.Task.Index]; t.Done || r.Run > t.Run || g.job.Phase.Over() {
				a.group = nil
			}
		}
		a.chance = r.crashing() * odds / (one + odds)
		list = append(list, a)
	}
	return list
}

// weigh turns a crash into odds, others being the probability that the worker crashed without
// this task, in millionths. It reports whether the run was not counted before.
func (a *accused) weigh(others int64, agent string) bool {
	sus := a.group.suspicion(a.run.Task.Index)
	if a.run.Run <= sus.Run {
		return false
	}
	sus.Run, sus.Agent = a.run.Run, agent
	switch {
	case a.run.FromMS >= longAge:
		sus.Crashes, sus.Unsure = 0, 0
	case a.run.Unsure:
		sus.Unsure++
	default:
		sus.Crashes++
	}
	odds := sus.Odds * surviving(a.run.FromMS) / one
	sus.Odds = min(max(odds*(others+a.run.crashing())/others, priorOdds), mostOdds)
	return true
}

// reviewAccused brings the sets up to date with what is held against a task, or a gang.
func (s *State) reviewAccused(g *Group, index int) {
	for k := range g.Tasks {
		if k == index || g.Step().Gang {
			s.reviewCopy(g, k)
			s.reviewSuspect(g, k)
		}
	}
}

// reviewSuspect enters a task into the set of suspects, or takes it out.
func (s *State) reviewSuspect(g *Group, k int) {
	if g.Doubt(k) != NoDoubt && !g.Tasks[k].Done && !g.job.Phase.Over() {
		s.suspects[g.ref(k)] = struct{}{}
		return
	}
	delete(s.suspects, g.ref(k))
}

// Suspects returns the tasks that are in doubt and not done, in order.
func (s *State) Suspects() []Ref { return sortedRefs(s.suspects) }
