package control

import (
	"cmp"
	"math"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// changedShare and changedLeast are how far an estimate moves until agents are told
	// anew: a tenth, or a headroom that ten processors hardly show.
	changedShare = 0.1
	changedLeast = 0.003
	// maxToldPairs bounds one answer to some 4 KB; the rest comes with the next.
	maxToldPairs = 100
)

// pairLog tells agents which pairs have changed since they last asked. Every agent gets
// every pair: a filling run that begins where its image was never seen is begun at the
// pace that others have learned to be right. Sent in full with each renewal the pairs of
// ten served and eighteen filling images would be 10 KB a second for each agent.
type pairLog struct {
	revision uint64
	changes  []pairChange // by revision
	told     map[pairName]toldPair
}

type pairName struct{ serving, filling string }

type pairChange struct {
	revision uint64
	name     pairName
}

type toldPair struct {
	revision uint64
	mean     float64
}

func newPairLog() pairLog { return pairLog{told: make(map[pairName]toldPair)} }

// note takes in a pair's present estimate.
func (l *pairLog) note(name pairName, e interference.Estimate) {
	old, known := l.told[name]
	if known && math.Abs(e.Mean-old.mean) <= math.Max(changedLeast, changedShare*old.mean) {
		return
	}
	l.revision++
	l.told[name] = toldPair{l.revision, e.Mean}
	l.changes = append(l.changes, pairChange{l.revision, name})
	if len(l.changes) > 2*len(l.told)+maxToldPairs {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
	}
}

// outdated reports whether the pair has changed again since.
func (l *pairLog) outdated(c pairChange) bool { return l.told[c.name].revision != c.revision }

// since returns the pairs that changed after a revision, and the revision to ask from next.
func (l *pairLog) since(revision uint64) (names []pairName, next uint64) {
	from, _ := slices.BinarySearchFunc(l.changes, revision+1, func(c pairChange, r uint64) int { return cmp.Compare(c.revision, r) })
	next = revision
	for _, c := range l.changes[from:] {
		if len(names) == maxToldPairs {
			return names, next
		}
		next = c.revision
		if !l.outdated(c) {
			names = append(names, c.name)
		}
	}
	return names, max(next, l.revision)
}
