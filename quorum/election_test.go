package quorum

import "testing"

// campaignSimultaneously lets replicas campaign in the same tick, before any of their messages is
// delivered, and returns the number of ticks until one of them leads, -1 if none does.
func campaignSimultaneously(w *network, candidates ...*fakeReplica) int {
	for _, r := range candidates {
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

// The leader fails, and the two other replicas campaign at the same moment. If each granted the
// other's pre-vote, both would go on, vote for themselves and reject each other, and callers would
// wait for another election timeout.
func TestCampaignsAtTheSameMomentElectOne(t *testing.T) {
	w, leader := settledNetwork(t, 3)
	w.stop(leader)
	w.inFlight = nil
	rest := w.others(leader)
	if ticks := campaignSimultaneously(w, rest...); ticks < 0 || ticks > 2*ElectionTicks/8 {
		t.Errorf("a leader was elected after %d ticks", ticks)
	}
	w.fatalOnError(t)
}

// One replica can reach all others, and these can reach only it. They campaign repeatedly without a
// majority. The one in the middle must be elected although its ID is lower than theirs, that is,
// although they win ties against it.
func TestReplicaInTheMiddleIsElected(t *testing.T) {
	w, leader := settledNetwork(t, 5)
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
