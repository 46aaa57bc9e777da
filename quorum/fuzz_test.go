package quorum

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var runs = flag.Int("runs", 60, "operation sequences per stateful fuzz test")

// op is one event in a group of replicas. A and B select the replicas or messages concerned.
type op struct{ Kind, A, B int }

const (
	opTick = iota
	opDeliver
	opDeliverAll
	opDrop
	opDuplicate
	opPropose
	opCrash
	opRestart
	opCut
	opHeal
	opFreeze
	opWipe
	opRepair
	opCompact
	opTransfer
	opRead
	opKinds
)

// opNames are the names printed for a failing sequence.
var opNames = [...]string{"tick", "deliver", "deliver-all", "drop", "duplicate", "propose", "crash", "restart", "cut", "heal", "freeze", "wipe", "repair", "compact", "transfer", "read"}

func (o op) String() string { return fmt.Sprintf("%s(%d,%d)", opNames[o.Kind], o.A, o.B) }

// weights make ordinary operations more frequent than failures; otherwise no sequence acknowledges
// enough commands for a loss to show.
var weights = [opKinds]int{opTick: 14, opDeliver: 14, opDeliverAll: 14, opDrop: 3, opDuplicate: 3, opPropose: 14, opCrash: 3, opRestart: 5,
	opCut: 2, opHeal: 3, opFreeze: 2, opWipe: 2, opRepair: 4, opCompact: 2, opTransfer: 2, opRead: 4}

func genOp() gopter.Gen {
	var kinds []any
	for k, n := range weights {
		for range n {
			kinds = append(kinds, k)
		}
	}
	return gen.Struct(reflect.TypeOf(op{}), map[string]gopter.Gen{"Kind": gen.OneConstOf(kinds...), "A": gen.IntRange(0, 30), "B": gen.IntRange(0, 30)})
}

func (w *network) execute(o op) {
	r := w.replicas[o.A%len(w.replicas)]
	switch o.Kind {
	case opTick:
		w.tick()
	case opDeliver, opDrop, opDuplicate:
		w.onMessage(o)
	case opDeliverAll:
		for n := len(w.inFlight); n > 0 && len(w.inFlight) > 0; n-- {
			w.deliver(0)
		}
	case opCrash:
		w.crash(r, crashPoint(o.B%3))
	case opRestart:
		if r.core == nil {
			w.start(r)
		}
	case opCut:
		other := w.replicas[o.B%len(w.replicas)]
		w.cut[[2]uint64{r.disk.id, other.disk.id}] = true
	case opHeal:
		clear(w.cut)
	case opWipe:
		if w.mayWipe(r) {
			w.stop(r)
			w.wipe(r)
			w.start(r)
		}
	case opRepair:
		w.joinAll()
		w.repair()
	default:
		w.onReplica(r, o)
	}
}

func (w *network) onMessage(o op) {
	if len(w.inFlight) == 0 {
		return
	}
	i := o.A % len(w.inFlight)
	switch o.Kind {
	case opDeliver:
		w.deliver(i)
	case opDrop:
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	case opDuplicate:
		w.inFlight = append(w.inFlight, w.inFlight[i])
	}
}

func (w *network) crash(r *fakeReplica, at crashPoint) {
	if r.core == nil {
		return
	}
	if at == crashNow || r.frozen {
		w.stop(r)
		return
	}
	r.crashPending, r.crashAt = true, at
}

func (w *network) onReplica(r *fakeReplica, o op) {
	if r.core == nil {
		return
	}
	if o.Kind == opFreeze {
		r.frozen = !r.frozen
		w.process(r)
		return
	}
	if r.frozen {
		return
	}
	switch o.Kind {
	case opPropose:
		w.propose(r)
	case opCompact:
		w.compact(r)
	case opTransfer:
		r.core.Transfer(w.replicas[o.B%len(w.replicas)].disk.id)
	case opRead:
		id := uint64(len(r.reads) + 1)
		if r.core.Read(id) == nil {
			r.reads[id] = int(w.ackedIndex)
		}
	}
	w.process(r)
}

// healAndCheck ends all faults and checks that the group recovers with everything that was
// acknowledged.
func (w *network) healAndCheck() {
	clear(w.cut)
	for _, r := range w.replicas {
		r.frozen = false
		if r.core == nil {
			w.start(r)
		}
		r.crashPending = false
		w.process(r)
	}
	w.settle(300)
	l := w.leader()
	if l == nil {
		w.failf("no leader after everything was healed")
		return
	}
	w.propose(l)
	w.settle(20)
	w.checkAll()
}

// checkAll checks that all replicas have applied the same commands and that each acknowledged
// command was applied exactly once.
func (w *network) checkAll() {
	want := w.leader().applied
	for _, r := range w.replicas {
		if !slices.Equal(r.applied, want) {
			w.failf("%s has applied %d commands, the leader %d, or they differ", r.name, len(r.applied), len(want))
		}
	}
	count := make(map[string]int)
	for _, c := range want {
		count[c]++
	}
	for _, c := range w.acked {
		if count[c] != 1 {
			w.failf("acknowledged command %s was applied %d times", c, count[c])
		}
	}
}

func fuzzReplicas(t *testing.T, n int, seed int64) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = *runs
	params.MaxSize = 400
	props := gopter.NewProperties(params)
	props.Property("no acknowledged command is lost, changed or doubled", prop.ForAll(func(ops []op) (string, error) {
		w := newNetwork(n, seed)
		for _, o := range ops {
			w.execute(o)
		}
		w.healAndCheck()
		if len(w.errors) > 0 {
			return fmt.Sprint(w.errors[0], " after ", ops), nil
		}
		return "", nil
	}, gen.SliceOfN(300, genOp())))
	props.TestingRun(t)
}

// Replicas lose, reorder, duplicate and delay messages, are cut off in one direction, freeze, crash
// with unsynced entries, lose their disks and return as learners. Every acknowledged command must
// be applied once on every replica, and a confirmed read must never miss it.
func TestThreeReplicasKeepWhatTheyAcknowledged(t *testing.T) { fuzzReplicas(t, 3, 1) }

// The same with five replicas, two of which may be unavailable at the same time.
func TestFiveReplicasKeepWhatTheyAcknowledged(t *testing.T) { fuzzReplicas(t, 5, 2) }

// Without any failure, a new cluster adds its other replicas as learners and promotes them to voters
// one committed step at a time.
func TestReplicasJoinAndAgree(t *testing.T) {
	w := newNetwork(5, 7)
	w.settle(200)
	l := w.leader()
	if l == nil || len(l.core.Status().Config.Voters) != 5 {
		t.Fatalf("not all joined: %+v\n%s", l, w.log.String())
	}
	for range 10 {
		w.propose(l)
	}
	w.settle(10)
	w.checkAll()
	if len(w.errors) > 0 || len(w.acked) != 10 {
		t.Fatalf("acknowledged %d of 10: %v", len(w.acked), w.errors)
	}
}
