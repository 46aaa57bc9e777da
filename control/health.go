package control

import (
	"sort"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/membership"
)

// Tuning of the quarantine.
const (
	healthDecay    = 0.9 // of the counts at each renewal
	minSamples     = 8   // decayed count below which nothing is concluded
	failedPart     = 0.5 // a member fails when more than this part does
	peerFactor     = 4   // and when it is this many times its peers' median
	maxQuarantined = 0.2 // part of a service's members, so the rest is not swamped
	probeAfter     = 100 // renewals in quarantine until a member is tried again
)

// health is the decayed count of what a member did and failed at.
type health struct {
	done, failed       float64
	lastDone, lastF    uint64
	lastTask, lastB    uint64
	renewals, bannedAt int
}

func (h *health) note(u Usage) {
	h.renewals++
	done, failed := u.Done+u.TaskEnd, u.Failed+u.TaskBad
	prevDone, prevFailed := h.lastDone+h.lastTask, h.lastF+h.lastB
	if done < prevDone || failed < prevFailed {
		prevDone, prevFailed = 0, 0 // the agent started anew
	}
	if done == prevDone && failed == prevFailed {
		return
	}
	h.done = h.done*healthDecay + float64(done-prevDone)
	h.failed = h.failed*healthDecay + float64(failed-prevFailed)
	h.lastDone, h.lastF, h.lastTask, h.lastB = u.Done, u.Failed, u.TaskEnd, u.TaskBad
}

// rate returns the failed part, and whether there is enough to tell.
func (h *health) rate() (float64, bool) {
	total := h.done + h.failed
	if total < minSamples {
		return 0, false
	}
	return h.failed / total, true
}

// quarantine compares members with their peers. A worker that fails everything
// at once is always free, so without this it would attract all the work.
func (l *leader) quarantine(s *State) []membership.Move {
	var moves []membership.Move
	for _, group := range byService(s) {
		median := l.medianRate(group)
		banned := 0
		for _, m := range group {
			if m.Phase == membership.Quarantined {
				banned++
			}
		}
		for _, m := range group {
			mv, ok := l.judge(m, median, banned+1 <= quarantineLimit(len(group)))
			if !ok {
				continue
			}
			if mv.Phase == membership.Quarantined {
				banned++
			}
			logrus.WithFields(logrus.Fields{"agent": m.Agent, "phase": mv.Phase}).Warn("control: Changed a quarantine.")
			moves = append(moves, mv)
		}
	}
	return moves
}

func quarantineLimit(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*maxQuarantined))
}

func byService(s *State) map[string][]*membership.Member {
	groups := make(map[string][]*membership.Member)
	for _, m := range s.Members.Members {
		if m.Phase == membership.Up || m.Phase == membership.Quarantined {
			key := m.Market + "/" + m.Service
			groups[key] = append(groups[key], m)
		}
	}
	return groups
}

func (l *leader) medianRate(group []*membership.Member) float64 {
	var rates []float64
	for _, m := range group {
		if ses := l.sessions[m.Agent]; ses != nil {
			if rate, ok := ses.health.rate(); ok {
				rates = append(rates, rate)
			}
		}
	}
	if len(rates) == 0 {
		return 0
	}
	sort.Float64s(rates)
	return rates[(len(rates)-1)/2]
}

func (l *leader) judge(m *membership.Member, median float64, mayBan bool) (membership.Move, bool) {
	ses := l.sessions[m.Agent]
	if ses == nil {
		return membership.Move{}, false
	}
	h := &ses.health
	if m.Phase == membership.Quarantined {
		if h.renewals-h.bannedAt < probeAfter {
			return membership.Move{}, false
		}
		// Tried again with a clean slate: a few failures bring it back here.
		h.done, h.failed = 0, 0
		return membership.Move{Agent: m.Agent, Boot: m.Boot, Phase: membership.Up}, true
	}
	rate, ok := h.rate()
	if !ok || !mayBan || rate < failedPart || rate < median*peerFactor {
		return membership.Move{}, false
	}
	h.bannedAt = h.renewals
	return membership.Move{Agent: m.Agent, Boot: m.Boot, Phase: membership.Quarantined, Reason: "it fails far more than its peers"}, true
}
