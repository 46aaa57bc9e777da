package membership

import "sort"

// Tuning of the quarantine.
const (
	healthDecay    = 0.9 // of the counts at each report that brings news
	minSamples     = 8   // decayed count below which nothing is concluded
	failedPart     = 0.5 // a member fails when more than this part does
	peerFactor     = 4   // and when it is this many times its peers' median
	maxQuarantined = 0.2 // part of a service's members, so the rest is not swamped
	probeAfter     = 100 // reports in quarantine until a member is tried again
)

// Health is the decayed count of what a member did and failed at, requests and
// task attempts together.
type Health struct {
	done, failed         float64
	lastDone, lastFailed uint64
	reports, bannedAt    int
}

// Note takes in a member's running totals since its agent's start.
func (h *Health) Note(done, failed uint64) {
	h.reports++
	if done < h.lastDone || failed < h.lastFailed {
		h.lastDone, h.lastFailed = 0, 0 // the agent was started anew
	}
	if done == h.lastDone && failed == h.lastFailed {
		return
	}
	h.done = h.done*healthDecay + float64(done-h.lastDone)
	h.failed = h.failed*healthDecay + float64(failed-h.lastFailed)
	h.lastDone, h.lastFailed = done, failed
}

// rate returns the failed part, and whether there is enough to tell.
func (h *Health) rate() (float64, bool) {
	total := h.done + h.failed
	if total < minSamples {
		return 0, false
	}
	return h.failed / total, true
}

// Quarantine compares the members of each service with their peers and returns
// the moves into and out of quarantine. A worker that fails everything at once
// is always free, so without this it would attract all the work.
func (s *State) Quarantine(health func(agent string) *Health) []Move {
	var moves []Move
	for _, group := range s.peers() {
		median := medianRate(group, health)
		banned := 0
		for _, m := range group {
			if m.Phase == Quarantined {
				banned++
			}
		}
		for _, m := range group {
			h := health(m.Agent)
			if h == nil {
				continue
			}
			if mv, ok := h.judge(m, median, banned < quarantineLimit(len(group))); ok {
				if mv.Phase == Quarantined {
					banned++
				}
				moves = append(moves, mv)
			}
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

// peers groups the members that may work, or may again, by service.
func (s *State) peers() map[string][]*Member {
	groups := make(map[string][]*Member)
	for _, m := range s.Since(0) {
		if m.Phase == Up || m.Phase == Quarantined {
			key := m.Market + "/" + m.Service
			groups[key] = append(groups[key], m)
		}
	}
	return groups
}

func medianRate(group []*Member, health func(string) *Health) float64 {
	var rates []float64
	for _, m := range group {
		if h := health(m.Agent); h != nil {
			if rate, ok := h.rate(); ok {
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

func (h *Health) judge(m *Member, median float64, mayBan bool) (Move, bool) {
	if m.Phase == Quarantined {
		if h.reports-h.bannedAt < probeAfter {
			return Move{}, false
		}
		// Tried again with a clean slate: a few failures bring it back here.
		h.done, h.failed = 0, 0
		return Move{Agent: m.Agent, Boot: m.Boot, Phase: Up}, true
	}
	rate, ok := h.rate()
	if !ok || !mayBan || rate < failedPart || rate < median*peerFactor {
		return Move{}, false
	}
	h.bannedAt = h.reports
	return Move{Agent: m.Agent, Boot: m.Boot, Phase: Quarantined, Reason: "it fails far more than its peers"}, true
}
