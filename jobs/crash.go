package jobs

import (
	"fmt"
	"slices"
)

// Crash attribution: a task may crash every worker that starts it. Such a worker reports no
// outcome, and all other runs on it are lost as well. Without a limit the task would be started
// again without end and take a worker down for some seconds each time; a plain crash count would
// also give up unrelated tasks that only ran on the same workers.
//
// Each task therefore has odds of crashing its workers, updated by Bayes' rule. A crash raises the
// odds most for runs that had just begun, little for one of many suspects and much for a run that
// was alone on the worker; a run that worked for a while lowers them. A crash that no task caused
// is always one of the possible causes. The arithmetic uses integers, so that all replicas compute
// the same result.
const (
	// oddsScale is the unit of odds and probabilities: both are kept in millionths.
	oddsScale = 1_000_000
	// priorOdds are the odds of a task without any history: one in a thousand.
	priorOdds = oddsScale / 1000
	// maxOdds bounds the odds, so that long work without a crash can still clear a task.
	maxOdds = 1000 * oddsScale
	// baseCrashRate is the rate at which a worker crashes without a task causing it, in millionths
	// per ms: once in 20 s, as a flapping worker does. Most workers crash far less often, but with
	// a lower rate tasks started on a flapping worker would be given up.
	baseCrashRate = 50
	// minSpanMS is the shortest interval, in ms, to which the time of a crash is taken to be known.
	minSpanMS = 20
	// A task becomes a suspect at suspectOdds and needs an isolated start at isolateOdds, as does
	// every suspect that the next crash may give up (see isolateCrashes). After a crash under
	// fourteen similar tasks that had just begun, each has odds of 0.05; after one under two such
	// tasks, 0.14; two of the fourteen that were together again have even odds after the second.
	suspectOdds = oddsScale / 100
	isolateOdds = oddsScale / 8
	// maxCrashes is the number of crashes after which a task is given up whatever its odds, unless
	// it worked for clearAgeMS in between. It bounds the starts of a task that crashes its worker
	// only after a long time.
	maxCrashes = 10
)

// giveUpOdds are the odds at which a task is given up after its second crash or a later one. A
// crash during an isolated run raises the odds 200 to 500 times, so one coincidental crash does
// not give up a task that had less than even odds.
const giveUpOdds = 300 * oddsScale

// shouldGiveUp reports whether the crash just counted makes the scheduler give up the task; before
// is the task's odds before that crash. Callers accept giving up after two crashes, and tolerate
// two more starts after the third. So the fifth crash should be the last for the task that causes
// them, whatever ran beside it before: from then on it is enough that the crash does not lower
// the odds of a suspect, since a task that takes up to a second to crash its worker does not stand
// out more than that. Suspects start isolated by then (see SuspicionLevel); a crash that lowers a
// task's odds, or that first makes it a suspect, may well have another cause.
func (s *Suspicion) shouldGiveUp(before int64) bool {
	switch {
	case s.Crashes < 2:
		return false
	case s.possibleCrashes() <= isolateCrashes:
		return s.Odds >= giveUpOdds
	case s.Crashes < maxCrashes:
		return before >= suspectOdds && s.Odds >= before
	}
	return true
}

// possibleCrashes counts the crashes under the task as if every unanswered start had taken effect:
// the number of starts sent must be bounded, not only of those known to have begun.
func (s *Suspicion) possibleCrashes() int { return s.Crashes + s.Unanswered }

// isolateCrashes is the number of possible crashes from which a suspect starts isolated or not at
// all.
const isolateCrashes = 4

// MustIsolate reports whether a task may start only on a worker where nothing else begins.
func (g *Group) MustIsolate(k int) bool {
	return g.SuspicionLevel(k) == Isolate && g.Suspicion(k).possibleCrashes() >= isolateCrashes
}

// survival gives, by age, the fraction of crashing tasks, in millionths, that have not crashed
// their worker yet; between two points it is interpolated linearly. It falls steeply at first and
// has a long tail, because most such tasks crash while they start, and some while they work.
var survival = []struct{ ageMS, fraction int64 }{
	{0, 1_000_000}, {20, 500_000}, {100, 135_000}, {1000, 22_000}, {10_000, 9_000}, {clearAgeMS, 5_000}, {clearAgeMS * 60, 1_000},
}

// survivalAt returns the fraction of crashing tasks, in millionths, that have not crashed their
// worker by an age.
func survivalAt(ageMS int64) int64 {
	for i := 1; i < len(survival); i++ {
		a, b := survival[i-1], survival[i]
		if ageMS < b.ageMS {
			return a.fraction - (a.fraction-b.fraction)*(ageMS-a.ageMS)/(b.ageMS-a.ageMS)
		}
	}
	return survival[len(survival)-1].fraction
}

// clearAgeMS is the age of a run from which its crash resets the task's earlier crash counts.
const clearAgeMS = 60_000

// Crash is the unplanned end of a worker incarnation that its agent was in contact with.
type Crash struct {
	Worker string `msgpack:"w"`
	// SpanMS is the length of the interval in which it crashed: from its last response until it
	// had certainly ended.
	SpanMS int64        `msgpack:"s"`
	Runs   []CrashedRun `msgpack:"r"`
}

// CrashedRun is a run that was active when its worker crashed.
type CrashedRun struct {
	Task Ref    `msgpack:"t"`
	Run  uint32 `msgpack:"r"`
	// FromMS and ToMS are the run's age at the worker's last response, and when the worker had
	// certainly ended.
	FromMS int64 `msgpack:"f"`
	ToMS   int64 `msgpack:"u"`
	// Unanswered is set if its start was not answered, so that it may never have begun.
	Unanswered bool `msgpack:"n,omitempty"`
}

// unsurePercent is the share of unanswered starts on a crashed worker, in percent, that had taken
// effect by the time of the crash.
const unsurePercent = 30

// crashProbability returns the probability, in millionths, that a crashing task which had not
// crashed its worker by FromMS does so by ToMS. An unanswered start counts in part.
func (r *CrashedRun) crashProbability() int64 {
	from := survivalAt(r.FromMS)
	fraction := oddsScale * (from - survivalAt(max(r.ToMS, r.FromMS+minSpanMS))) / from
	if r.Unanswered {
		fraction = fraction * unsurePercent / 100
	}
	return fraction
}

// Suspicion is the crash history of a task, or of a gang as a whole.
type Suspicion struct {
	// Crashes counts crashed workers on which a run was certainly active, Unanswered those on which
	// its start had not been answered.
	Crashes    int    `msgpack:"c"`
	Unanswered int    `msgpack:"u,omitempty"`
	Odds       int64  `msgpack:"o"` // in millionths
	Run        uint32 `msgpack:"r"` // newest run that was counted: each counts once
	Agent      string `msgpack:"a"` // agent of the worker that crashed last
	// Agents are the first agents of different workers that crashed, up to standingCrashAgents.
	Agents []string `msgpack:"g,omitempty"`
	// Awaits is the agent whose crash report the task waits for, "" for none: its worker was lost
	// under the task's last run, and it reports with the next incarnation whether that crashed.
	Awaits string `msgpack:"w,omitempty"`
}

// SuspicionLevel is the degree of suspicion against a task, which decides where it may start.
type SuspicionLevel uint8

// The degrees of suspicion.
const (
	NoSuspicion SuspicionLevel = iota
	Suspect                    // starts apart from other suspects, on workers where a crash affects few runs
	Isolate                    // starts isolated: nothing else begins on the worker meanwhile
)

// SuspicionLevel returns the degree of suspicion against a task of the group.
func (g *Group) SuspicionLevel(k int) SuspicionLevel {
	s := g.Suspicion(k)
	switch {
	case s == nil || s.Odds < suspectOdds:
		return NoSuspicion
	case s.Odds >= isolateOdds || s.possibleCrashes() >= isolateCrashes:
		return Isolate
	}
	return Suspect
}

func (g *Group) odds(k int) int64 {
	if s := g.Suspicion(k); s != nil {
		return s.Odds
	}
	return priorOdds
}

// Suspicion returns the crash history of a task, nil for none. A gang's members share one, since
// they start and end together.
func (g *Group) Suspicion(k int) *Suspicion {
	if g.Step().Gang {
		return g.Suspected
	}
	return g.Tasks[k].Suspected
}

// ensureSuspicion returns the crash history of a task for changes, creating it if there is none.
func (g *Group) ensureSuspicion(k int) *Suspicion {
	p := &g.Tasks[k].Suspected
	if g.Step().Gang {
		p = &g.Suspected
	}
	if *p == nil {
		*p = &Suspicion{Odds: priorOdds}
	}
	return *p
}

// awaitCrashReport makes a suspect that may be one crash away from being given up wait for the
// report of the agent whose worker was lost under it: the lease may end before the next
// incarnation registers. Started without waiting, the task could crash one worker more than its
// callers tolerate.
func (s *State) awaitCrashReport(g *Group, k int, agent string) {
	if sus := g.Suspicion(k); g.SuspicionLevel(k) == Isolate && sus.possibleCrashes() >= isolateCrashes-1 {
		sus.Awaits = agent
	}
}

// stopAwaiting ends the wait for the crash report of an agent that has registered.
func (s *State) stopAwaiting(agent string) {
	for ref := range s.suspects {
		if sus := s.group(ref).Suspicion(ref.Index); sus.Awaits == agent {
			sus.Awaits = ""
		}
	}
}

// standingCrashAgents is on how many workers, at different agents, a standing task must have crashed
// to be given up. It can't be told from a worker that goes down again and again, and must be restarted
// however it ends.
const standingCrashAgents = 3

// recordAgent notes the agent of a worker that crashed.
func (s *Suspicion) recordAgent(agent string) {
	s.Agent = agent
	if len(s.Agents) < standingCrashAgents && !slices.Contains(s.Agents, agent) {
		s.Agents = append(s.Agents, agent)
	}
}

// mayGiveUp reports whether the workers that crashed under a step's task can be evidence against it.
func (s *Suspicion) mayGiveUp(st *Step) bool {
	return !st.Standing || len(s.Agents) >= standingCrashAgents
}

// GivenUp is a task that was given up, and its job failed, because its workers crash.
type GivenUp struct {
	Task    Ref
	Crashes int
	Odds    int64 // in millionths
}

// candidate is a possible cause of a crash: a task, or a gang as a whole, that was active on the
// worker.
type candidate struct {
	run CrashedRun
	// group is nil for a task that is unknown or over. It counts as a possible cause as well.
	group *Group
	// probability is the probability, in millionths, that it crashed the worker, given its odds
	// so far and its age.
	probability int64
}

// ApplyCrash updates the odds of the tasks that were active on a crashed worker, and returns those
// that are given up for it. Applying the same crash again has no effect.
func (s *State) ApplyCrash(c Crash, agent string, index uint64) (out []GivenUp) {
	list := s.candidates(c.Runs)
	total := baseCrashRate * max(c.SpanMS, minSpanMS)
	for i := range list {
		total += list[i].probability
	}
	for i := range list {
		a := &list[i]
		if a.group == nil {
			continue
		}
		g, k := a.group, a.run.Task.Index
		before := g.odds(k)
		if !a.updateOdds(total-a.probability, agent) {
			continue
		}
		s.updateCandidateSets(g, k)
		sus := g.Suspicion(k)
		if g.job.Phase.Over() || !sus.mayGiveUp(g.Step()) || !sus.shouldGiveUp(before) {
			continue
		}
		g.job.FailureReason = fmt.Sprintf("task %v was given up: %d workers crashed under it", a.run.Task, sus.Crashes)
		s.end(g.job, Failed, index)
		out = append(out, GivenUp{a.run.Task, sus.Crashes, sus.Odds})
	}
	return out
}

// candidates lists the tasks that were active on a crashed worker, each gang once.
func (s *State) candidates(runs []CrashedRun) []candidate {
	var list []candidate
	gangs := make(map[*Group]bool)
	for _, r := range runs {
		a := candidate{run: r, group: s.group(r.Task)}
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
		a.probability = r.crashProbability() * odds / (oddsScale + odds)
		list = append(list, a)
	}
	return list
}

// updateOdds applies a crash to a task's odds. others is the probability, in millionths, that the
// worker crashed from other causes. It reports false if the run was counted before.
func (a *candidate) updateOdds(others int64, agent string) bool {
	sus := a.group.ensureSuspicion(a.run.Task.Index)
	if a.run.Run <= sus.Run {
		return false
	}
	sus.Run = a.run.Run
	switch {
	case a.run.FromMS >= clearAgeMS:
		sus.Crashes, sus.Unanswered, sus.Agents = 0, 0, nil
	case a.run.Unanswered:
		sus.Unanswered++
	default:
		sus.Crashes++
	}
	sus.recordAgent(agent)
	odds := sus.Odds * survivalAt(a.run.FromMS) / oddsScale
	sus.Odds = min(max(odds*(others+a.run.crashProbability())/others, priorOdds), maxOdds)
	return true
}

// updateCandidateSets updates the copyable and suspect sets for a task, or for all members if it
// belongs to a gang.
func (s *State) updateCandidateSets(g *Group, index int) {
	for k := range g.Tasks {
		if k == index || g.Step().Gang {
			s.updateCopyable(g, k)
			s.updateSuspect(g, k)
		}
	}
}

// updateSuspect adds a task to the set of suspects or removes it, as its state requires.
func (s *State) updateSuspect(g *Group, k int) {
	if g.SuspicionLevel(k) != NoSuspicion && !g.Tasks[k].Done && !g.job.Phase.Over() {
		s.suspects[g.ref(k)] = struct{}{}
		return
	}
	delete(s.suspects, g.ref(k))
}

// Suspects returns the suspected tasks that are not done, in order.
func (s *State) Suspects() []Ref { return sortedRefs(s.suspects) }
