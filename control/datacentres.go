package control

import (
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/clock"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const (
	// maxOrderAge bounds the time between the arrival of an order without a revision and the read
	// that it builds on, including suspensions of the machine. Its sender tries another replica
	// after one second without an answer.
	maxOrderAge = time.Second
	// minRunning is how long the process must have run without a stall before it accepts such an
	// order: by then whatever waited in its sockets has been read.
	minRunning = time.Second
)

var (
	dataCentreOrders = map[datacentre.Phase]*metrics.Counter{
		datacentre.InService: metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="in-service"}`),
		datacentre.Cordoned:  metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="cordoned"}`),
		datacentre.Draining:  metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="draining"}`),
	}
	ordersSuperseded = metrics.NewCounter(`waxwinghaven_data_centre_orders_overtaken_total`)
	ordersStale      = metrics.NewCounter(`waxwinghaven_data_centre_orders_doubted_total`)
)

// OrderDataCentre changes a data centre's phase and returns once the order is committed. A
// replica that does not lead forwards it, so operators may call any replica.
func (r *Replica) OrderDataCentre(o datacentre.Order) (a datacentre.Answer, err error) {
	if addr := r.otherLeader(); addr != "" {
		err = r.client.Call(addr, PathOrderDataCentre, forwardTimeout, &o, &a)
		return a, err
	}
	return r.onOrderDataCentre(o)
}

func (r *Replica) onOrderDataCentre(o datacentre.Order) (a datacentre.Answer, err error) {
	if o.Phase > datacentre.Draining {
		return a, refusal.New(refusal.Invalid, "run the same version on both sides", "data centres have no phase %d", o.Phase)
	}
	if err := r.checkDataCentre(o.Name); err != nil {
		return a, err
	}
	o.AtMS = r.dispatcher.nowMS()
	l := logrus.WithFields(logrus.Fields{"data_centre": o.Name, "phase": o.Phase.String(), "order": o.ID, "base": o.Base})
	v, err := r.propose(Command{DataCentre: &o})
	if err != nil {
		if refusal.Is(err, refusal.Conflict) {
			ordersSuperseded.Inc()
		}
		l.Warnf("control: Refused or could not commit an order about a data centre: %v.", err)
		return a, err
	}
	a = v.(datacentre.Answer)
	if !a.Repeated {
		dataCentreOrders[o.Phase].Inc()
		r.dispatcher.wake()
		r.leader.wake()
	}
	l.WithFields(logrus.Fields{"revision": a.Revision, "repeated": a.Repeated}).Info("control: Committed an order about a data centre.")
	return a, nil
}

// checkDataCentre refuses an unknown data centre: an order with a misspelt name would be
// acknowledged without effect.
func (r *Replica) checkDataCentre(name string) error {
	known := false
	r.machine.Read(func(s *State) { known = r.dataCentreNames(s)[name] })
	if known {
		return nil
	}
	return refusal.New(refusal.Invalid, "see `waxwinghaven data-centre list` for the names", "no data centre %q is known", name)
}

// dataCentreNames returns the data centres from the settings and all that have or had members,
// workers or orders.
func (r *Replica) dataCentreNames(s *State) map[string]bool {
	names := map[string]bool{r.set.Instance.DataCentre: true}
	for _, name := range r.set.Control.DataCentres {
		names[name] = true
	}
	for name := range s.DataCentres.Centres {
		names[name] = true
	}
	for _, m := range s.Members.Members {
		names[m.DataCentre] = true
	}
	for _, w := range s.Jobs.Workers {
		names[w.DataCentre] = true
	}
	delete(names, "")
	return names
}

// RequestDataCentre carries out an order that has neither an id nor a base revision, and that its
// sender repeats unchanged at any replica until it is answered. A copy that is read late, from a
// socket after a network partition or a suspension, looks like a new order and must not undo what
// was acknowledged since. Therefore:
//
//   - the order builds on the revision that a majority read returns after its arrival. Any commit
//     in between, at any replica, makes it fail, however late it is committed itself;
//   - it may take at most maxOrderAge from arrival to that read, on a clock that includes
//     suspensions;
//   - it is refused for a while after this process was stalled, since it may have waited in a
//     socket all that time;
//   - stillWaiting, called after that read, reports whether the sender still waits for the answer.
//     A sender whose bytes were delayed by a partition has already asked another replica.
//
// Such refusals are retryable: a sender that still wants the order repeats it.
func (r *Replica) RequestDataCentre(name string, phase datacentre.Phase, stillWaiting func() bool) error {
	base, err := r.baseOf(name, r.DataCentre, stillWaiting)
	if err != nil {
		return err
	}
	_, err = r.OrderDataCentre(datacentre.Order{Name: name, Phase: phase, Base: base})
	if e, ok := refusal.Of(err); ok && e.Code == refusal.Conflict {
		return refuseStale(e.Message)
	}
	return err
}

// baseOf returns the revision that an order which has just arrived builds on, or refuses an order
// that may be out of date.
func (r *Replica) baseOf(name string, read func(DataCentreQuery) (DataCentreAnswer, error), stillWaiting func() bool) (uint64, error) {
	arrived := clock.Now()
	if r.stalls.runningFor(arrived) < minRunning {
		return 0, refuseStale("this replica has only just resumed after a stall")
	}
	c, err := read(DataCentreQuery{Name: name})
	switch {
	case err != nil:
		return 0, err
	case clock.Since(arrived) > maxOrderAge:
		return 0, refuseStale("the order took too long to process")
	case !stillWaiting():
		return 0, refuseStale("its sender no longer waits for the answer")
	}
	return c.Revision, nil
}

// refuseStale refuses an order that a later one may have superseded.
func refuseStale(why string) error {
	ordersStale.Inc()
	logrus.Infof("control: Refused an order about a data centre that may be out of date: %s.", why)
	e := refusal.New(refusal.Unreachable, "send it again if it is still wanted", "%s", why)
	e.RetryAfter = refusal.Jitter(staleOrderRetry)
	return e
}

// staleOrderRetry is the delay after which a refused stale order may be sent again.
const staleOrderRetry = 100 * time.Millisecond

// DataCentreQuery asks for a data centre.
type DataCentreQuery struct {
	Name string `msgpack:"n"`
}

// DataCentreAnswer is the phase of a data centre and the revision of its last order.
type DataCentreAnswer struct {
	Phase    datacentre.Phase `msgpack:"p"`
	Revision uint64           `msgpack:"r"`
}

// DataCentre returns the phase of a data centre, confirmed by a majority.
func (r *Replica) DataCentre(q DataCentreQuery) (a DataCentreAnswer, err error) {
	if addr := r.otherLeader(); addr != "" {
		err = r.client.Call(addr, PathGetDataCentre, forwardTimeout, &q, &a)
		return a, err
	}
	return r.onGetDataCentre(q)
}

func (r *Replica) onGetDataCentre(q DataCentreQuery) (a DataCentreAnswer, err error) {
	if err := r.confirmedLeader(); err != nil {
		return a, err
	}
	r.machine.Read(func(s *State) {
		c := s.DataCentres.Of(q.Name)
		a.Phase, a.Revision = c.Phase, c.Revision
	})
	return a, nil
}

// DataCentreView is a data centre as operators see it.
type DataCentreView struct {
	Name     string `json:"name"`
	Phase    string `json:"phase"`
	Revision uint64 `json:"revision"` // the base for the next order, 0 before the first
	// Order is the id of the order that set the phase and SinceMS its time, in milliseconds since
	// 1970; both are absent if the data centre was never taken out of service.
	Order   string `json:"order,omitempty"`
	SinceMS int64  `json:"since_ms,omitempty"`
	// Workers counts the workers there, Runs the active or pending runs of callers' jobs,
	// Standing those of them that run until cancelled, and Tasks the active or pending tasks of
	// markets' jobs.
	Workers  int `json:"workers"`
	Runs     int `json:"runs"`
	Standing int `json:"standing"`
	Tasks    int `json:"tasks"`
	// Empty reports that the data centre is out of service and nothing runs there.
	Empty bool `json:"empty"`
}

// DataCentreRequest is an operator's order.
type DataCentreRequest struct {
	ID    string `json:"id"`
	Name  string `json:"name"`
	Phase string `json:"phase"`
	Base  uint64 `json:"base"`
}

func (r *Replica) getDataCentres(*fasthttp.RequestCtx) (any, error) {
	out := []DataCentreView{}
	err := r.confirmed(func(s *State) {
		for name := range r.dataCentreNames(s) {
			out = append(out, viewDataCentre(s, name))
		}
	})
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out, err
}

func viewDataCentre(s *State, name string) DataCentreView {
	c := s.DataCentres.Of(name)
	v := DataCentreView{Name: name, Phase: c.Phase.String(), Revision: c.Revision, Order: c.Order, SinceMS: c.SinceMS}
	for id, w := range s.Jobs.Workers {
		if w.DataCentre != name {
			continue
		}
		v.Workers++
		for _, ref := range s.Jobs.RunsOn(id) {
			v.Runs++
			if s.Jobs.Group(ref).Step().Standing {
				v.Standing++
			}
		}
	}
	for agent, m := range s.Members.Members {
		if m.DataCentre == name {
			v.Tasks += len(s.Tasks.On(agent))
		}
	}
	v.Empty = c.Phase != datacentre.InService && v.Runs+v.Tasks == 0
	return v
}

func (r *Replica) postDataCentre(q *fasthttp.RequestCtx) (any, error) {
	var c DataCentreRequest
	if err := readJSON(q, &c); err != nil {
		return nil, err
	}
	phase, err := datacentre.ParsePhase(c.Phase)
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		return nil, refusal.New(refusal.Invalid, "give every order an id of its own", "the order has no id")
	}
	return r.OrderDataCentre(datacentre.Order{ID: c.ID, Name: c.Name, Phase: phase, Base: c.Base})
}
