package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/quorum"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

const (
	joinEvery   = 500 * time.Millisecond
	repairEvery = 200 * time.Millisecond
	joinTimeout = time.Second
)

// join asks the other replicas to take this one in, as long as it is in no
// configuration. A replica that lost its disk comes back this way, under a new
// identity: it has forgotten whom it voted for, so the old one must not vote.
func (r *Replica) join(ctx context.Context) error {
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		st, err := r.node.Status(ctx)
		if err != nil {
			continue
		}
		if _, member := st.Config.Find(r.self.ID); member || (st.Last > 0 && st.Leader == r.self.ID) {
			continue
		}
		r.askToJoin()
	}
}

func (r *Replica) askToJoin() {
	for _, addr := range r.set.Peers.Control {
		if addr == r.self.Address {
			continue
		}
		if err := r.client.Call(addr, PathJoin, joinTimeout, &Join{r.self}, nil); err == nil {
			logrus.WithField("through", addr).Info("control: Asked to join the cluster.")
			return
		}
	}
}

func (r *Replica) onJoin(j Join) (Empty, error) {
	if j.Replica.ID == 0 || j.Replica.Name == "" || j.Replica.Address == "" {
		return Empty{}, refusal.New(refusal.Invalid, "run the same version on both sides", "the replica that asks to join does not name itself")
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := r.node.Join(ctx, j.Replica); err != nil {
		return Empty{}, r.refusalOf(err)
	}
	return Empty{}, nil
}

// repair promotes learners that have caught up, a committed step at a time.
func (r *Replica) repair(ctx context.Context) {
	done, err := r.node.Repair(ctx)
	if err != nil || !done {
		return
	}
	if st, err := r.node.Status(ctx); err == nil {
		logrus.WithFields(logrus.Fields{"voters": names(st.Config.Voters), "learners": names(st.Config.Learners)}).
			Info("control: Changed the replica set.")
	}
}

func names(list []quorum.Replica) []string {
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.Name
	}
	return out
}
