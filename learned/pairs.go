package learned

import (
	"cmp"
	"math"
	"slices"

	"github.com/waxwinghaven/waxwinghaven/interference"
)

const (
	// minChangeRatio and minChange are the change of an estimate after which it is sent again: a
	// tenth, or a headroom that is hardly noticeable even with ten processors.
	minChangeRatio = 0.1
	minChange      = 0.003
	// maxPairsPerAnswer bounds one answer to about 4 KB; the remaining pairs follow in the next
	// one.
	maxPairsPerAnswer = 100
)

// pairLog records which pairs have changed, so that agents get the changes since their last
// request. Every agent gets every pair: a filling run whose image is new to a worker then starts
// at the pace that was learned elsewhere. Sending all pairs of ten served and eighteen filling
// images with each renewal would cost 10 KB per second and agent.
type pairLog struct {
	revision uint64
	changes  []pairChange // by revision
	logged   map[pairName]loggedPair
}

type pairName struct{ serving, filling string }

type pairChange struct {
	revision uint64
	name     pairName
}

type loggedPair struct {
	revision uint64
	mean     float64
}

func newPairLog() pairLog { return pairLog{logged: make(map[pairName]loggedPair)} }

// record stores the current estimate of a pair if it has changed enough.
func (l *pairLog) record(name pairName, e interference.Estimate) {
	old, known := l.logged[name]
	if known && math.Abs(e.Mean-old.mean) <= math.Max(minChange, minChangeRatio*old.mean) {
		return
	}
	l.revision++
	l.logged[name] = loggedPair{l.revision, e.Mean}
	l.changes = append(l.changes, pairChange{l.revision, name})
	if len(l.changes) > 2*len(l.logged)+maxPairsPerAnswer {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
	}
}

// outdated reports whether the pair has changed again since.
func (l *pairLog) outdated(c pairChange) bool { return l.logged[c.name].revision != c.revision }

// since returns the pairs that changed after a revision, and the revision to ask from next.
func (l *pairLog) since(revision uint64) (names []pairName, next uint64) {
	from, _ := slices.BinarySearchFunc(l.changes, revision+1, func(c pairChange, r uint64) int { return cmp.Compare(c.revision, r) })
	next = revision
	for _, c := range l.changes[from:] {
		if len(names) == maxPairsPerAnswer {
			return names, next
		}
		next = c.revision
		if !l.outdated(c) {
			names = append(names, c.name)
		}
	}
	return names, max(next, l.revision)
}
