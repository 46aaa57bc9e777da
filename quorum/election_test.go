package quorum

import "testing"

// campaignAtOnce lets replicas campaign in the same tick, with none of their messages
// delivered in between, and returns the ticks until one of them leads.
func campaignAtOnce(w *network, at ...*fakeReplica) int {
	for _, r := range at {
		r.core.campaign(true)
		w.process(r)
	}
	for tick := range 10 * ElectionTicks {
		for n := len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
			w.deliver(0)
		}
		if l := w.leader(); l != nil {
			return tick
		}
		if len(w.inFlight) == 0 {
			w.tick()
		}
	}
	return -1
}

// The leader is gone, and the two that are left campaign at the same moment. If each
// granted the other's pre-vote, both would go on, vote for themselves and refuse the
// other: callers would wait for another whole election timeout.
func TestCampaignsAtTheSameMomentElectOne(t *testing.T) {
	w, leader := settled(t, 3)
	w.stop(leader)
	w.inFlight = nil
	rest := w.others(leader)
	if ticks := campaignAtOnce(w, rest...); ticks < 0 || ticks > 2*ElectionTicks/8 {
		t.Errorf("a leader after %d ticks", ticks)
	}
	w.fatalOnError(t)
}

// One replica hears all others, and these hear nobody but it. They campaign over and over,
// none with a majority; the one in the middle must be elected though their names are
// higher than its own.
func TestReplicaInTheMiddleIsElected(t *testing.T) {
	w, leader := settled(t, 5)
	others := w.others(leader)
	w.stop(leader)
	middle := others[0]
	for _, r := range others {
		if r.disk.id < middle.disk.id {
			middle = r
		}
	}
	for _, a := range others {
		for _, b := range others {
			if a != b && a != middle && b != middle {
				w.cut[[2]uint64{a.disk.id, b.disk.id}] = true
			}
		}
	}
	w.settle(20 * ElectionTicks)
	if l := w.leader(); l != middle {
		t.Errorf("the leader is %v, want %s", l, middle.name)
	}
	w.fatalOnError(t)
}
