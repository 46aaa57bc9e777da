package quorum

import (
	"fmt"
	"testing"

	"github.com/waxwinghaven/waxwinghaven/golden"
)

// transcript records every message of a test run in sections, and the state of all replicas where
// requested.
type transcript struct{ *network }

func (d transcript) section(title string) { fmt.Fprintf(&d.log, "\n# %s\n", title) }

func (d transcript) writeStates() {
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

// Three replicas form a cluster, commit a change and continue after the leader fails. The golden file
// contains every message, so that a change of the protocol shows there.
func TestTranscriptOfElectionAndChange(t *testing.T) {
	d := transcript{newNetwork(3, 3)}
	d.section("the others joined; one change")
	d.settle(30)
	d.propose(d.leader())
	d.settle(5)
	d.writeStates()
	old := d.leader()
	d.section(old.name + " dies; a new leader takes a change")
	d.stop(old)
	d.settle(40)
	d.propose(d.leader())
	d.settle(5)
	d.writeStates()
	d.section(old.name + " comes back")
	d.start(old)
	d.settle(5)
	d.writeStates()
	d.fatalOnError(t)
	golden.Compare(t, "testdata/election-and-change.golden", d.log.String())
}

// A leader accepts a change while it is cut off. The others continue without it; when the cut heals,
// its entry is replaced and it becomes a follower.
func TestTranscriptOfACutOffLeader(t *testing.T) {
	d := transcript{newNetwork(3, 5)}
	d.settle(30)
	d.log.Reset()
	old := d.leader()
	d.section(old.name + " is cut off and takes a change that is never committed")
	d.isolate(old)
	d.propose(old)
	d.settle(45)
	d.propose(d.leader())
	d.settle(3)
	d.writeStates()
	d.section("the cut heals")
	clear(d.cut)
	d.settle(10)
	d.writeStates()
	d.fatalOnError(t)
	if len(old.applied) != 1 || old.applied[0] != "c2" {
		t.Errorf("the old leader has applied %v", old.applied)
	}
	golden.Compare(t, "testdata/cut-off-leader.golden", d.log.String())
}

// dropRetained drops the entries that are retained before a snapshot's index, as a leader does after
// some thousand more entries.
func dropRetained(l *memLog) {
	l.entries = append([]Entry(nil), l.after(l.snap.Index)...)
	l.base, l.baseTerm = l.snap.Index, l.snap.Term
	l.rebaseConfigs(configAt{l.snap.Index, l.snap.Config})
}

// A replica loses its disk and rejoins under a new identity by a snapshot.
func TestTranscriptOfALostDisk(t *testing.T) {
	d := transcript{newNetwork(3, 7)}
	d.settle(30)
	for range 3 {
		d.propose(d.leader())
		d.settle(3)
	}
	d.compact(d.leader())
	dropRetained(d.leader().core.log)
	d.log.Reset()
	victim := d.others(d.leader())[0]
	d.section(victim.name + " loses its disk")
	d.stop(victim)
	d.wipe(victim)
	d.start(victim)
	d.settle(25)
	d.writeStates()
	d.fatalOnError(t)
	golden.Compare(t, "testdata/lost-disk.golden", d.log.String())
}
