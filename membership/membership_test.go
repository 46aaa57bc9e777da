package membership

import (
	"testing"

	"github.com/waxwinghaven/waxwinghaven/resource"
)

// Members that are down must be removed after a day, since instances are replaced under new
// names every day, but not earlier, because operators look for them. A move for an earlier boot
// must change no member.
func TestDownMembersAreRemovedAfterADay(t *testing.T) {
	s := NewState()
	for _, name := range []string{"old", "new"} {
		s.ApplyAnnounce(Member{Agent: name, Boot: "b2"}, 1)
	}
	if s.ApplyMove(Move{Agent: "old", Boot: "b1", Phase: Down}, 2, 1000) {
		t.Fatal("a move for another boot took effect")
	}
	if !s.ApplyMove(Move{Agent: "old", Boot: "b2", Phase: Down}, 3, 1000) {
		t.Fatal("the move took no effect")
	}
	s.ApplyMove(Move{Agent: "new", Boot: "b2", Phase: Quarantined}, 4, downRetention)
	if s.Members["old"] == nil {
		t.Fatal("removed too early")
	}
	s.ApplyMove(Move{Agent: "new", Boot: "b2", Phase: Up}, 5, downRetention+1001)
	if s.Members["old"] != nil || s.Members["new"] == nil {
		t.Fatalf("after a day: %v", s.Members)
	}
}

// The members of a cordoned data centre get no tasks and entries are notified of the change.
// Their own announcements must not undo it.
func TestMembersOfACordonedDataCentreGetNothing(t *testing.T) {
	s := NewState()
	s.ApplyAnnounce(Member{Agent: "a", Boot: "b", DataCentre: "hall-a"}, 1)
	s.ApplyAnnounce(Member{Agent: "b", Boot: "b", DataCentre: "hall-b"}, 2)
	s.ApplyCordon("hall-a", true, 3)
	if s.Available("a", resource.Vector{}).Schedulable || !s.Available("b", resource.Vector{}).Schedulable {
		t.Error("the wrong member is open")
	}
	if changed := s.ChangedSince(2); len(changed) != 1 || changed[0].Agent != "a" || !changed[0].Cordoned {
		t.Errorf("entries are notified of %+v", changed)
	}
	if !s.Members["a"].SameAnnouncement(Member{Agent: "a", Boot: "b", DataCentre: "hall-a"}) {
		t.Error("the agent's next heartbeat counts as a change")
	}
	s.ApplyCordon("hall-a", false, 4)
	if !s.Available("a", resource.Vector{}).Schedulable || len(s.ChangedSince(3)) != 1 {
		t.Error("the member does not return to service")
	}
}

// A quarantined worker repeats its announcement like any other. That must not end the
// quarantine; a new boot does, since the worker may have been repaired.
func TestAnnouncementEndsNoQuarantine(t *testing.T) {
	s := NewState()
	s.ApplyAnnounce(Member{Agent: "a", Boot: "b1"}, 1)
	s.ApplyMove(Move{Agent: "a", Boot: "b1", Phase: Quarantined}, 2, 0)
	s.ApplyAnnounce(Member{Agent: "a", Boot: "b1"}, 3)
	if s.Members["a"].Phase != Quarantined {
		t.Fatal("a repeated announcement ended the quarantine")
	}
	if lost := s.ApplyAnnounce(Member{Agent: "a", Boot: "b2"}, 4); lost != "b1" || s.Members["a"].Phase != Up {
		t.Fatalf("after a restart: %v, lost %q", s.Members["a"].Phase, lost)
	}
}

// One member of ten that fails all its work is quarantined. If all fail, as with a faulty
// release, none is, because no peer is better.
func TestQuarantineComparesWithPeers(t *testing.T) {
	for _, c := range []struct {
		failing, want int
	}{{1, 1}, {10, 0}, {4, 2}} {
		s, health := NewState(), make(map[string]*Health)
		for i := range 10 {
			name := string(rune('a' + i))
			s.ApplyAnnounce(Member{Agent: name, Boot: "b", Market: "m", Service: "s"}, 1)
			health[name] = &Health{}
			if i < c.failing {
				health[name].Record(0, 100)
			} else {
				health[name].Record(100, 0)
			}
		}
		got := s.Quarantine(func(agent string) *Health { return health[agent] })
		if len(got) != c.want {
			t.Errorf("%d of 10 failing: %d quarantined, want %d", c.failing, len(got), c.want)
		}
	}
}
