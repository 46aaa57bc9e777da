package quorum

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/golden"
)

// dialogue plays one scene and returns every message of it, with the state of
// all replicas at each step that it names.
type dialogue struct{ *network }

func (d dialogue) scene(title string) { fmt.Fprintf(&d.log, "\n# %s\n", title) }

func (d dialogue) states() {
	for _, r := range d.replicas {
		if r.core == nil {
			fmt.Fprintf(&d.log, "  %s is down\n", r.name)
			continue
		}
		st := r.core.Status()
		fmt.Fprintf(&d.log, "  %s id=%d %s term=%d last=%d commit=%d applied=%v voters=%d learners=%d\n",
			r.name, st.ID, st.Role, st.Term, st.Last, st.Commit, r.applied, len(st.Config.Voters), len(st.Config.Learners))
	}
}

// Three replicas come together, take a change, and go on when the leader dies.
// The golden file is the whole dialogue: a change of the protocol shows there.
func TestDialogueOfElectionAndChange(t *testing.T) {
	d := dialogue{newNetwork(3, 3)}
	d.scene("the others joined; one change")
	d.settle(30)
	d.propose(d.leader())
	d.settle(5)
	d.states()
	old := d.leader()
	d.scene(old.name + " dies; a new leader takes a change")
	d.stop(old)
	d.settle(40)
	d.propose(d.leader())
	d.settle(5)
	d.states()
	d.scene(old.name + " comes back")
	d.start(old)
	d.settle(5)
	d.states()
	d.fatalOnError(t)
	golden.Compare(t, "testdata/election-and-change.golden", d.log.String())
}

// A leader takes a change while it is cut off. The others go on without it; when
// the cut heals, its entry is replaced and it follows.
func TestDialogueOfACutOffLeader(t *testing.T) {
	d := dialogue{newNetwork(3, 5)}
	d.settle(30)
	d.log.Reset()
	old := d.leader()
	d.scene(old.name + " is cut off and takes a change that is never committed")
	d.isolate(old)
	d.propose(old)
	d.settle(45)
	d.propose(d.leader())
	d.settle(3)
	d.states()
	d.scene("the cut heals")
	clear(d.cut)
	d.settle(10)
	d.states()
	d.fatalOnError(t)
	if len(old.applied) != 1 || old.applied[0] != "c2" {
		t.Errorf("the old leader has applied %v", old.applied)
	}
	golden.Compare(t, "testdata/cut-off-leader.golden", d.log.String())
}

// forgetRetained drops the entries that are kept behind a snapshot, as happens
// by itself after some thousand more.
func forgetRetained(l *memLog) {
	l.entries = append([]Entry(nil), l.after(l.snap.Index)...)
	l.base, l.baseTerm = l.snap.Index, l.snap.Term
	l.rebaseConfigs(configAt{l.snap.Index, l.snap.Config})
}

// A replica loses its disk and rejoins under a new identity, by a snapshot.
func TestDialogueOfALostDisk(t *testing.T) {
	d := dialogue{newNetwork(3, 7)}
	d.settle(30)
	for range 3 {
		d.propose(d.leader())
		d.settle(3)
	}
	d.compact(d.leader())
	forgetRetained(d.leader().core.log)
	d.log.Reset()
	victim := d.others(d.leader())[0]
	d.scene(victim.name + " loses its disk")
	d.stop(victim)
	d.wipe(victim)
	d.start(victim)
	d.settle(25)
	d.states()
	d.fatalOnError(t)
	golden.Compare(t, "testdata/lost-disk.golden", d.log.String())
}
