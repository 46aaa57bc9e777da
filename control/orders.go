package control

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/waxwinghaven/waxwinghaven/jobs"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// maxOrdersWait bounds one wait for orders, so that a dead connection is noticed within a second
// or two.
const maxOrdersWait = time.Second

// onOrders waits until something changes for a worker. It needs no majority read: every order it
// returns is committed, and the worker's lease keeps an outdated order from being started. So any
// replica whose state is current may answer.
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

// ordersNow returns what has changed for a worker, according to this replica's state.
func (r *Replica) ordersNow(req *OrdersRequest) (a OrdersAnswer, err error) {
	view := r.node.View()
	if !view.Current {
		return a, r.refusalOf(quorum.ErrNotLeader)
	}
	r.machine.Read(func(s *State) {
		if err = s.checkSession(req, view.Role == quorum.Leader); err != nil {
			return
		}
		a.Index, a.Orders = s.Index, s.Jobs.Orders(req.Worker, req.Since)
		a.Cordoned = s.workerCordoned(req.Worker)
	})
	return a, err
}

// checkSession refuses an agent whose session is not registered. That ends the session, so a
// replica answers so only if it has applied the registration, which even a new leader may not
// have; otherwise it says that it is behind.
func (s *State) checkSession(req *OrdersRequest, leads bool) error {
	_, err := s.registration(req.WorkerRef)
	if err == nil {
		return nil
	}
	if s.Index < req.Registered || (!leads && req.Registered == 0) {
		return refusal.New(refusal.Behind, "ask the leader, or again in a moment", "the registration of worker %s is not known here yet", req.Worker)
	}
	return err
}

func notRegistered(worker string) error {
	return refusal.New(refusal.NotRegistered, "register the worker again", "worker %s is not registered by this session of its agent", worker)
}

// orderSources returns the replicas that a worker's agent should ask for orders, none for the
// leader itself. The leader serves about own of the workers' agents; every other agent is assigned
// to a voter, in its own data centre if there is one. Voters learn of each commit within one
// heartbeat round, and many leases cause many such rounds.
func orderSources(set quorum.Config, leader uint64, w *jobs.Worker, workers, own int) []string {
	at := position(w.ID)
	if at*float64(workers) < float64(own) {
		return nil
	}
	var local, remote []string
	for _, v := range set.Voters {
		switch {
		case v.ID == leader:
		case v.DataCentre == w.DataCentre:
			local = append(local, v.Address)
		default:
			remote = append(remote, v.Address)
		}
	}
	return append(rotated(local, at), rotated(remote, at)...)
}

// position maps a name to a fixed position in [0, 1).
func position(name string) float64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	const golden = 2654435761 // spreads names that differ only in their last characters
	return float64(h.Sum32()*golden) / (math.MaxUint32 + 1)
}

// rotated returns the list rotated to begin at a position in [0, 1).
func rotated(list []string, at float64) []string {
	i := int(at * float64(len(list)))
	return append(append([]string(nil), list[i:]...), list[:i]...)
}
