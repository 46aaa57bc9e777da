package membership

import "sort"

// Parameters of the quarantine.
const (
	healthDecay         = 0.9 // of the counts, at each report with new results
	minSamples          = 8   // decayed count below which a rate is not judged
	minFailureRate      = 0.5 // a member is quarantined if at least this share of its work fails
	peerFactor          = 4   // and if its failure rate is at least this many times its peers' median
	maxQuarantinedShare = 0.2 // of a service's members, so that the others are not overloaded
	probeAfter          = 100 // reports in quarantine until a member is tried again
)

// Health holds the decayed counts of a member's completed and failed work, requests and task
// attempts together.
type Health struct {
	done, failed           float64
	lastDone, lastFailed   uint64
	reports, quarantinedAt int
}

// Record records a member's running totals since its agent's start.
func (h *Health) Record(done, failed uint64) {
	h.reports++
	if done < h.lastDone || failed < h.lastFailed {
		h.lastDone, h.lastFailed = 0, 0 // the agent has restarted
	}
	if done == h.lastDone && failed == h.lastFailed {
		return
	}
	h.done = h.done*healthDecay + float64(done-h.lastDone)
	h.failed = h.failed*healthDecay + float64(failed-h.lastFailed)
	h.lastDone, h.lastFailed = done, failed
}

// rate returns the share of failed work, and whether there are enough samples to judge it.
func (h *Health) rate() (float64, bool) {
	total := h.done + h.failed
	if total < minSamples {
		return 0, false
	}
	return h.failed / total, true
}

// Quarantine compares the members of each service with their peers and returns the moves into
// and out of quarantine. A worker that fails all its work immediately always has free capacity,
// so without quarantine it would attract all the work.
func (s *State) Quarantine(health func(agent string) *Health) []Move {
	var moves []Move
	for _, group := range s.peerGroups() {
		median := medianRate(group, health)
		quarantined := 0
		for _, m := range group {
			if m.Phase == Quarantined {
				quarantined++
			}
		}
		for _, m := range group {
			h := health(m.Agent)
			if h == nil {
				continue
			}
			if move, ok := h.decide(m, median, quarantined < quarantineLimit(len(group))); ok {
				if move.Phase == Quarantined {
					quarantined++
				}
				moves = append(moves, move)
			}
		}
	}
	return moves
}

func quarantineLimit(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*maxQuarantinedShare))
}

// peerGroups groups by service the members that are up or quarantined.
func (s *State) peerGroups() map[string][]*Member {
	groups := make(map[string][]*Member)
	for _, m := range s.ChangedSince(0) {
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

// decide returns the member's move into or out of quarantine, false for none. median is the
// median failure rate of its peers.
func (h *Health) decide(m *Member, median float64, mayQuarantine bool) (Move, bool) {
	if m.Phase == Quarantined {
		if h.reports-h.quarantinedAt < probeAfter {
			return Move{}, false
		}
		// The member is tried again with empty counts: a few failures quarantine it again.
		h.done, h.failed = 0, 0
		return Move{Agent: m.Agent, Boot: m.Boot, Phase: Up}, true
	}
	rate, ok := h.rate()
	if !ok || !mayQuarantine || rate < minFailureRate || rate < median*peerFactor {
		return Move{}, false
	}
	h.quarantinedAt = h.reports
	return Move{Agent: m.Agent, Boot: m.Boot, Phase: Quarantined, Reason: "it fails far more than its peers"}, true
}
