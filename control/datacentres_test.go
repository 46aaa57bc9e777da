package control

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/membership"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const testDataCentre = "dc" // data centre of the cluster's replicas

func senderWaits() bool { return true }

// request sends an order without an id to the replicas in turn until one acknowledges it.
func (c *cluster) request(phase datacentre.Phase) {
	c.t.Helper()
	i := 0
	c.wait("the order is acknowledged", func() bool {
		i++
		return c.replicas[i%3].RequestDataCentre(testDataCentre, phase, senderWaits) == nil
	})
}

// phase returns the data centre's phase, confirmed by a majority.
func (c *cluster) phase() (p datacentre.Phase) {
	c.t.Helper()
	c.wait("the phase is read", func() bool {
		l := c.leader()
		if l < 0 {
			return false
		}
		a, err := c.replicas[l].DataCentre(DataCentreQuery{Name: testDataCentre})
		p = a.Phase
		return err == nil
	})
	return p
}

// Guards against a cordon that is lost: all replicas lose power right after it was acknowledged.
// The data centre must still be out of service after the restart, and under the next leader.
func TestDataCentreStaysOutOfService(t *testing.T) {
	c := newCluster(t)
	c.prepareJobs(4)
	c.request(datacentre.Cordoned)
	for i := range c.replicas {
		c.stop(i)
	}
	for i := range c.replicas {
		c.start(i)
	}
	if p := c.phase(); p != datacentre.Cordoned {
		t.Fatalf("it is %v", p)
	}
	c.isolate(c.leader(), true)
	c.wait("another leads", func() bool { return c.leader() >= 0 })
	if p := c.phase(); p != datacentre.Cordoned {
		t.Errorf("at the next leader it is %v", p)
	}
}

// Guards against a stale order that takes effect after a later acknowledged one: a data centre is
// brought back into service while an order to drain it is between arrival and commit, for example
// at a slow replica or in a call to a stalled leader.
func TestOvertakenOrderIsRefused(t *testing.T) {
	c := newCluster(t)
	c.request(datacentre.Cordoned)
	for i := range c.replicas {
		err := c.replicas[i].RequestDataCentre(testDataCentre, datacentre.Draining, func() bool {
			c.request(datacentre.InService)
			return true
		})
		if err == nil || refusal.Is(err, refusal.Invalid) || refusal.Is(err, refusal.Conflict) {
			t.Errorf("at replica %d: %v, want a refusal that asks for another try", i, err)
		}
		if p := c.phase(); p != datacentre.InService {
			t.Fatalf("at replica %d: the data centre is %v after it was brought back", i, p)
		}
	}
}

// Guards against an order whose sender gave up before a network partition healed and its bytes
// arrived: the sender no longer waits, and a later order may have been acknowledged.
func TestOrderWithoutWaitingSenderIsRefused(t *testing.T) {
	c := newCluster(t)
	c.request(datacentre.InService)
	if err := c.replicas[0].RequestDataCentre(testDataCentre, datacentre.Cordoned, func() bool { return false }); err == nil {
		t.Error("it was acknowledged")
	}
	if p := c.phase(); p != datacentre.InService {
		t.Errorf("the data centre is %v", p)
	}
}

// A replica's machine is suspended for seconds with an order in a socket; its monotonic clock
// does not show it. Orders read in the first second afterwards must be refused, later ones
// accepted.
func TestOrderFromBeforeASuspensionIsRefused(t *testing.T) {
	c := newCluster(t)
	c.request(datacentre.InService)
	var suspended atomic.Int64
	defer clock.SetSuspendedSource(func() time.Duration { return time.Duration(suspended.Load()) })()
	suspended.Add(int64(5 * time.Second))
	if err := c.replicas[0].RequestDataCentre(testDataCentre, datacentre.Cordoned, senderWaits); err == nil {
		t.Error("an order read right after the suspension was acknowledged")
	}
	c.wait("orders are taken again", func() bool {
		return c.replicas[0].RequestDataCentre(testDataCentre, datacentre.InService, senderWaits) == nil
	})
	jump := time.AfterFunc(time.Millisecond, func() { suspended.Add(int64(5 * time.Second)) })
	defer jump.Stop()
	if p := c.phase(); p != datacentre.InService {
		t.Errorf("the data centre is %v", p)
	}
}

// Guards against an order that takes longer between its arrival and the read it builds on than
// its sender waits for an answer.
func TestOrderThatTookTooLongIsRefused(t *testing.T) {
	r := newBareReplica(t)
	var suspended atomic.Int64
	defer clock.SetSuspendedSource(func() time.Duration { return time.Duration(suspended.Load()) })()
	for _, took := range []time.Duration{maxOrderAge / 2, 2 * maxOrderAge} {
		for range 2 * minRunning / stallCheckInterval {
			r.stalls.observe(clock.Now())
			suspended.Add(int64(stallCheckInterval))
		}
		_, err := r.baseOf(testDataCentre, func(DataCentreQuery) (DataCentreAnswer, error) {
			suspended.Add(int64(took))
			return DataCentreAnswer{}, nil
		}, senderWaits)
		if (err == nil) != (took < maxOrderAge) {
			t.Errorf("after %v: %v", took, err)
		}
	}
}

// The stall detector must notice both kinds of stalls: the process did not run according to the
// monotonic clock, or the machine was suspended.
func TestStallDetectorSeesStallsAndSuspensions(t *testing.T) {
	var suspended atomic.Int64
	defer clock.SetSuspendedSource(func() time.Duration { return time.Duration(suspended.Load()) })()
	at := func(d time.Duration) clock.Instant { suspended.Store(int64(d)); return clock.Now() }
	var p stallDetector
	for d := time.Duration(0); d <= 3*time.Second; d += stallCheckInterval {
		p.observe(at(d))
	}
	if d := p.runningFor(at(3 * time.Second)); d < 2900*time.Millisecond || d > 3100*time.Millisecond {
		t.Errorf("it has run for %v", d)
	}
	if d := p.runningFor(at(3*time.Second + stallThreshold)); d > 100*time.Millisecond {
		t.Errorf("after a stall it has run for %v", d)
	}
}

// A misspelt name must be refused as invalid at every replica, without any effect.
func TestUnknownDataCentreIsInvalid(t *testing.T) {
	c := newCluster(t)
	c.request(datacentre.InService)
	for i := range c.replicas {
		var err error
		c.wait("a clear answer", func() bool {
			err = c.replicas[i].RequestDataCentre("hal-a", datacentre.Cordoned, senderWaits)
			return !refusal.Is(err, refusal.Unreachable)
		})
		if !refusal.Is(err, refusal.Invalid) {
			t.Errorf("at replica %d: %v", i, err)
		}
	}
	c.replicas[0].machine.Read(func(s *State) {
		if len(s.DataCentres.Out()) > 0 {
			t.Errorf("%v are out of service", s.DataCentres.Out())
		}
	})
}

// An operator's order carries an id and a base revision: resent, it gets its first answer, and of
// two concurrent orders one succeeds while the other is told the id of the accepted one.
func TestOperatorsOrdersRaceForOneRevision(t *testing.T) {
	c := newCluster(t)
	order := func(id string, phase datacentre.Phase, base uint64) (a datacentre.Answer, err error) {
		c.wait("an answer", func() bool {
			a, err = c.replicas[c.leader()].OrderDataCentre(datacentre.Order{ID: id, Name: testDataCentre, Phase: phase, Base: base})
			return err == nil || refusal.Is(err, refusal.Conflict)
		})
		return a, err
	}
	first, err := order("o-1", datacentre.Draining, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = order("o-2", datacentre.InService, 0)
	if e, ok := refusal.Of(err); !ok || e.LastChange != "o-1" || e.Revision != first.Revision {
		t.Errorf("the second got %v", err)
	}
	again, err := order("o-1", datacentre.Draining, 0)
	if err != nil || !again.Repeated || again.Revision != first.Revision {
		t.Errorf("the first sent again got %+v %v", again, err)
	}
}

// Neither a member's announcement nor a snapshot may bring a data centre back into service. A
// snapshot from a version without such orders must still load, with everything in service.
func TestSnapshotKeepsDataCentres(t *testing.T) {
	s := NewState()
	m := membership.Member{Agent: "a", Address: "10.0.0.1:1", Boot: "b", DataCentre: testDataCentre}
	for i, c := range []Command{{Announce: &m}, {DataCentre: &datacentre.Order{Name: testDataCentre, Phase: datacentre.Cordoned, ID: "o-1", AtMS: 7}}, {Announce: &m}} {
		if _, err := s.Apply(uint64(i+1), c); err != nil {
			t.Fatal(err)
		}
	}
	data, err := (&Machine{state: s}).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	after := NewMachine()
	if err := after.Restore(data); err != nil {
		t.Fatal(err)
	}
	if c := after.state.DataCentres.Of(testDataCentre); c.Phase != datacentre.Cordoned || c.Revision != 2 || c.SinceMS != 7 || len(c.Applied) != 1 {
		t.Errorf("after the snapshot it is %+v", c)
	}
	if !after.state.Members.Members["a"].Cordoned || after.state.capacity("a").Schedulable {
		t.Error("the member is in service after the snapshot")
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "d")
	older, err := msgpack.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	if err := after.Restore(older); err != nil {
		t.Fatal(err)
	}
	if _, err := after.state.Apply(4, Command{DataCentre: &datacentre.Order{Name: testDataCentre, Phase: datacentre.Cordoned}}); err != nil || len(after.state.DataCentres.Out()) != 1 {
		t.Errorf("an order after an older snapshot: %v, out are %v", err, after.state.DataCentres.Out())
	}
}
