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
	// orderLife is how long an order without a revision may be under way between its
	// arrival and the read that it builds on, suspensions of the machine included. Its
	// sender asks elsewhere after a second without an answer.
	orderLife = time.Second
	// settledAfter is for how long the process has to have run without a break for such
	// an order to be taken for new: what waited in its sockets is read by then.
	settledAfter = time.Second
)

var (
	dataCentreOrders = map[datacentre.Phase]*metrics.Counter{
		datacentre.InService: metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="in-service"}`),
		datacentre.Cordoned:  metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="cordoned"}`),
		datacentre.Draining:  metrics.NewCounter(`waxwinghaven_data_centre_orders_total{phase="draining"}`),
	}
	ordersOvertaken = metrics.NewCounter(`waxwinghaven_data_centre_orders_overtaken_total`)
	ordersDoubted   = metrics.NewCounter(`waxwinghaven_data_centre_orders_doubted_total`)
)

// OrderDataCentre makes a data centre's phase take effect, acknowledged once it is committed. A
// replica that does not lead passes it on, so that operators may reach any.
func (r *Replica) OrderDataCentre(o datacentre.Order) (a datacentre.Answer, err error) {
	if addr := r.leaderElsewhere(); addr != "" {
		err = r.client.Call(addr, PathOrderDataCentre, passOnTimeout, &o, &a)
		return a, err
	}
	return r.onOrderDataCentre(o)
}

func (r *Replica) onOrderDataCentre(o datacentre.Order) (a datacentre.Answer, err error) {
	if o.Phase > datacentre.Draining {
		return a, refusal.New(refusal.Invalid, "run the same version on both sides", "data centres have no phase %d", o.Phase)
	}
	if err := r.dataCentreKnown(o.Name); err != nil {
		return a, err
	}
	o.AtMS = r.dispatcher.nowMS()
	l := logrus.WithFields(logrus.Fields{"data_centre": o.Name, "phase": o.Phase.String(), "order": o.ID, "base": o.Base})
	v, err := r.propose(Command{DataCentre: &o})
	if err != nil {
		if refusal.Is(err, refusal.Conflict) {
			ordersOvertaken.Inc()
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

// dataCentreKnown refuses the name of a data centre that nobody knows: a misspelt order would be
// acknowledged and do nothing.
func (r *Replica) dataCentreKnown(name string) error {
	known := false
	r.machine.Read(func(s *State) { known = r.dataCentreNames(s)[name] })
	if known {
		return nil
	}
	return refusal.New(refusal.Invalid, "see `waxwinghaven data-centre list` for the names", "no data centre %q is known", name)
}

// dataCentreNames returns the data centres of the settings and those in which anything of the
// system stands or stood.
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

// RequestDataCentre carries out an order whose sender gives it neither a name nor the revision
// that it builds on, and sends it again, the same, to any replica until it is answered.
// Whoever reads such an order late, out of a socket behind a cut or after a suspension,
// can't tell it from a new one, and it must not undo what was acknowledged since. So:
//
//   - it builds on the revision read, by a majority's word, after its arrival. Whatever is
//     committed in between, anywhere, makes it fail, however late it is committed itself;
//   - between arrival and read it may take orderLife, by a clock that counts suspensions;
//   - it is refused for a while after this process stood still, since it may have waited
//     in a socket all that time;
//   - stillAsked, called after that read, tells whether its sender still waits for the
//     answer. One whose bytes were held up by a cut has long asked elsewhere.
//
// A refusal for doubt is retryable: who still wants the order sends it again.
func (r *Replica) RequestDataCentre(name string, phase datacentre.Phase, stillAsked func() bool) error {
	base, err := r.baseOf(name, r.DataCentre, stillAsked)
	if err != nil {
		return err
	}
	_, err = r.OrderDataCentre(datacentre.Order{Name: name, Phase: phase, Base: base})
	if e, ok := refusal.Of(err); ok && e.Code == refusal.Conflict {
		return doubted(e.Message)
	}
	return err
}

// baseOf returns the revision that an order which has just arrived builds on, or refuses an
// order that may be out of date.
func (r *Replica) baseOf(name string, read func(DataCentreQuery) (DataCentreAnswer, error), stillAsked func() bool) (uint64, error) {
	arrived := clock.Now()
	if r.pulse.steady(arrived) < settledAfter {
		return 0, doubted("this replica has only just gone on after a pause")
	}
	c, err := read(DataCentreQuery{Name: name})
	switch {
	case err != nil:
		return 0, err
	case clock.Since(arrived) > orderLife:
		return 0, doubted("the order was under way for too long")
	case !stillAsked():
		return 0, doubted("its sender does not wait for the answer any more")
	}
	return c.Revision, nil
}

// doubted refuses an order that may have been overtaken by another.
func doubted(why string) error {
	ordersDoubted.Inc()
	logrus.Infof("control: Refused an order about a data centre that may be out of date: %s.", why)
	e := refusal.New(refusal.Unreachable, "send it again if it is still wanted", "%s", why)
	e.RetryAfter = refusal.Spread(retryOrder)
	return e
}

// retryOrder is when an order that was doubted may be sent again.
const retryOrder = 100 * time.Millisecond

// DataCentreQuery asks for a data centre.
type DataCentreQuery struct {
	Name string `msgpack:"n"`
}

// DataCentreAnswer tells how far a data centre is in service.
type DataCentreAnswer struct {
	Phase    datacentre.Phase `msgpack:"p"`
	Revision uint64           `msgpack:"r"`
}

// DataCentre returns the phase of a data centre, confirmed by a majority.
func (r *Replica) DataCentre(q DataCentreQuery) (a DataCentreAnswer, err error) {
	if addr := r.leaderElsewhere(); addr != "" {
		err = r.client.Call(addr, PathGetDataCentre, passOnTimeout, &q, &a)
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
	Revision uint64 `json:"revision"` // what the next order builds on, 0 before the first
	// Order is the order that brought the phase and SinceMS when, in milliseconds since
	// 1970; absent while the data centre was never taken out of service.
	Order   string `json:"order,omitempty"`
	SinceMS int64  `json:"since_ms,omitempty"`
	// Workers stand there; Runs of callers' jobs, of which Standing run until they are
	// cancelled, and Tasks of the markets' jobs are at work or about to begin there.
	Workers  int `json:"workers"`
	Runs     int `json:"runs"`
	Standing int `json:"standing"`
	Tasks    int `json:"tasks"`
	// Empty says that nothing runs there and nothing new will begin.
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
