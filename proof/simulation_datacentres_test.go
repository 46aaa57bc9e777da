package proof

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

const (
	fuzzDataCentres = 2
	// orderTimeout is how long an operator retries an order, and orderTryTimeout how long it
	// waits for one replica's answer.
	orderTimeout    = 5 * time.Second
	orderTryTimeout = time.Second
	// maxOutOfService is how long a data centre stays out of service. Accepted jobs have to
	// complete by the end, and two of the three workers may be in it.
	maxOutOfService = 5 * time.Second
)

// dataCentreOf returns the data centre of an agent.
func dataCentreOf(agent int) string { return fmt.Sprint("dc", agent%fuzzDataCentres) }

// fuzzDataCentre is the operators' record of a data centre.
type fuzzDataCentre struct {
	ordering bool
	orders   []dataCentreOrder
}

// dataCentreOrder is one order: when it was first sent and when it was acknowledged, zero if the
// outcome is unknown.
type dataCentreOrder struct {
	phase       datacentre.Phase
	sent, acked time.Time
}

// lastOrder returns the newest order, the zero value if there is none.
func (c *fuzzDataCentre) lastOrder() dataCentreOrder {
	if len(c.orders) == 0 {
		return dataCentreOrder{}
	}
	return c.orders[len(c.orders)-1]
}

func (s *simulation) dataCentre(name string) *fuzzDataCentre {
	if s.dataCentres[name] == nil {
		s.dataCentres[name] = &fuzzDataCentre{}
	}
	return s.dataCentres[name]
}

// orderDataCentre takes a data centre out of service, or usually restores one that is out: while
// both are out, callers are refused and nothing else can happen.
func (s *simulation) orderDataCentre() {
	i := s.rng.Intn(fuzzDataCentres)
	phase := datacentre.Phase(1 + s.rng.Intn(2))
	s.mu.Lock()
	for k := range fuzzDataCentres {
		if s.dataCentre(dataCentreOf(k)).lastOrder().phase != datacentre.InService && s.rng.Intn(12) > 0 {
			i, phase = k, datacentre.InService
		}
	}
	s.mu.Unlock()
	s.sendOrder(dataCentreOf(i), phase)
}

// restoreDataCentres puts data centres back into service that have been out for at least the
// given time, and retries orders to do so that were not acknowledged.
func (s *simulation) restoreDataCentres(longest time.Duration) {
	for i := range fuzzDataCentres {
		s.mu.Lock()
		last := s.dataCentre(dataCentreOf(i)).lastOrder()
		s.mu.Unlock()
		if last.sent.IsZero() || time.Since(last.sent) < longest {
			continue
		}
		if last.phase != datacentre.InService || last.acked.IsZero() {
			s.sendOrder(dataCentreOf(i), datacentre.InService)
		}
	}
}

// orderTry is one attempt to send an order: the replica that gets it, and the delay on the way.
type orderTry struct {
	replica int
	delay   time.Duration
}

// sendOrder sends an order to one replica after the other until it is acknowledged, unless
// another order about the data centre is being sent. Tries that timed out still arrive.
func (s *simulation) sendOrder(name string, phase datacentre.Phase) {
	s.mu.Lock()
	c := s.dataCentre(name)
	if c.ordering {
		s.mu.Unlock()
		return
	}
	c.ordering = true
	before := c.lastOrder()
	s.mu.Unlock()
	var tries []orderTry
	for range int(orderTimeout / (100 * time.Millisecond)) {
		x := orderTry{replica: s.rng.Intn(fuzzReplicas)}
		if s.rng.Intn(3) == 0 {
			x.delay = time.Duration(s.rng.Intn(9000)) * time.Millisecond
		}
		tries = append(tries, x)
	}
	s.goCall(func() {
		s.checkPhase(name, before)
		o := dataCentreOrder{phase: phase, sent: time.Now()}
		for _, x := range tries {
			if time.Since(o.sent) > orderTimeout {
				break
			}
			if s.try(x, name, phase) == nil {
				o.acked = time.Now()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.logf("data centre %s: %v, acknowledged %v", name, phase, !o.acked.IsZero())
		s.mu.Lock()
		defer s.mu.Unlock()
		c.ordering = false
		c.orders = append(c.orders, o)
	})
}

var errReplicaDown = fmt.Errorf("the replica is down")

// try sends an order once and waits for orderTryTimeout. A delayed order arrives later, with its
// connection closed.
func (s *simulation) try(x orderTry, name string, phase datacentre.Phase) error {
	var waits atomic.Bool
	waits.Store(true)
	done := make(chan error, 1)
	go func() {
		time.Sleep(x.delay)
		r, p := s.replica(x.replica)
		select {
		case <-p.ended:
			done <- errReplicaDown
		default:
			done <- r.RequestDataCentre(name, phase, waits.Load)
		}
	}()
	select {
	case err := <-done:
		return err
	case <-time.After(orderTryTimeout):
		waits.Store(false)
		return errNoAnswer
	}
}

// checkPhase compares the phase that a majority has committed for a data centre with the last
// order, before the next one is sent.
func (s *simulation) checkPhase(name string, last dataCentreOrder) {
	if last.acked.IsZero() {
		return // the outcome is unknown
	}
	var a control.DataCentreAnswer
	ctl := control.NewClient("operator", transport.NewClient(nil, "10.0.3.2"), controlAddresses, 0)
	if err := ctl.Call(control.PathGetDataCentre, 2*time.Second, &control.DataCentreQuery{Name: name}, &a); err == nil && a.Phase != last.phase {
		s.logf("data centre %s was ordered to be %v but is %v", name, last.phase, a.Phase)
		s.t.Errorf("data centre %s was ordered to be %v but is %v", name, last.phase, a.Phase)
	}
}

// checkDataCentres reports starts in a data centre that is out of service, later than the cordon
// bound after the acknowledgement and before the order to restore it was sent. A start that was
// carried out late counts with its sending time.
func (s *simulation) checkDataCentres() error {
	for i, a := range s.agents {
		c := s.dataCentre(dataCentreOf(i))
		for _, l := range a.host.Incarnations() {
			for _, r := range l.Record() {
				at := time.UnixMilli(r.StartMS)
				if a.calls != nil {
					if sent, late := a.calls.lateStarts[startName(r.Task, r.Run)]; late {
						at = sent.at
					}
				}
				o, out := c.outAt(at)
				if !out {
					continue
				}
				if at.Sub(o.acked) > fuzzCordonBound {
					return fmt.Errorf("%s was started on %s in %s %v after that was %v", r.Task, l.Name(), dataCentreOf(i), at.Sub(o.acked), o.phase)
				}
				s.latestStart = max(s.latestStart, at.Sub(o.acked))
			}
		}
	}
	return nil
}

// outAt reports whether the data centre was out of service at the given time, and by which order.
func (c *fuzzDataCentre) outAt(at time.Time) (dataCentreOrder, bool) {
	for i, o := range c.orders {
		until := time.Now()
		if i+1 < len(c.orders) {
			until = c.orders[i+1].sent
		}
		if o.phase != datacentre.InService && !o.acked.IsZero() && at.After(o.acked) && at.Before(until) {
			return o, true
		}
	}
	return dataCentreOrder{}, false
}

func startName(task string, run uint32) string { return fmt.Sprint(task, " ", run) }
