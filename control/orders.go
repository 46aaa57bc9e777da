package control

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// maxOrdersWait bounds one wait for orders, so that a silent connection is
// noticed within a second or two.
const maxOrdersWait = time.Second

// onOrders waits until something changes for a worker. It needs no majority's
// word: every order it hands out is committed, and the worker's lease keeps an
// outdated one from starting. So any replica whose copy is current may answer.
func (r *Replica) onOrders(req OrdersRequest) (OrdersAnswer, error) {
	deadline := time.After(min(time.Duration(req.WaitMS)*time.Millisecond, maxOrdersWait))
	changed := r.dispatcher.watch(req.Worker)
	for {
		a, err := r.ordersNow(&req)
		if err != nil {
			return OrdersAnswer{}, err
		}
		if len(a.Orders) > 0 || (a.Cordoned && !req.Cordoned) {
			return a, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return a, nil
		}
	}
}

// ordersNow returns what has changed for a worker by this replica's copy.
func (r *Replica) ordersNow(req *OrdersRequest) (a OrdersAnswer, err error) {
	view := r.node.View()
	if !view.Current {
		return a, r.refusalOf(quorum.ErrNotLeader)
	}
	r.machine.Read(func(s *State) {
		if err = s.speaksFor(req, view.Role == quorum.Leader); err != nil {
			return
		}
		a.Index, a.Orders = s.Index, s.Jobs.Orders(req.Worker, req.Since)
		a.Cordoned = s.workerCordoned(req.Worker)
	})
	return a, err
}

// speaksFor refuses an agent whose life is not registered. A replica says so only if it has come
// as far as the registration, which a new leader may not have either: its word ends the session.
func (s *State) speaksFor(req *OrdersRequest, leads bool) error {
	_, err := s.known(req.WorkerRef)
	if err == nil {
		return nil
	}
	if s.Index < req.Registered || (!leads && req.Registered == 0) {
		return refusal.New(refusal.Behind, "ask the leader, or again in a moment", "the registration of worker %s is not known here yet", req.Worker)
	}
	return err
}

func notRegistered(worker string) error {
	return refusal.New(refusal.NotRegistered, "register the worker again", "worker %s is not registered by this life of its agent", worker)
}

// ordersFrom returns the replicas from which a worker's agent is to ask for orders, none for
// the leader itself. The leader keeps as many agents as it may have of its own; each other one
// is sent to a voter, one in its own data centre if there is any. Voters hear of each commit
// within a contact round, of which many leases cause many.
func ordersFrom(set quorum.Config, leader uint64, w *jobs.Worker, workers, own int) []string {
	at := position(w.ID)
	if at*float64(workers) < float64(own) {
		return nil
	}
	var near, far []string
	for _, v := range set.Voters {
		switch {
		case v.ID == leader:
		case v.DataCentre == w.DataCentre:
			near = append(near, v.Address)
		default:
			far = append(far, v.Address)
		}
	}
	return append(rotated(near, at), rotated(far, at)...)
}

// position is a place in [0, 1) that a name always has.
func position(name string) float64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	const golden = 2654435761 // spreads names that differ in their last characters only
	return float64(h.Sum32()*golden) / (math.MaxUint32 + 1)
}

// rotated returns the list begun at a position in [0, 1).
func rotated(list []string, at float64) []string {
	i := int(at * float64(len(list)))
	return append(append([]string(nil), list[i:]...), list[:i]...)
}
