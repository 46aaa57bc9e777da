package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/waxwinghaven/waxwinghaven/quorum"
)

// Shortage reports that the replica set tolerates fewer losses than required.
type Shortage struct {
	Since time.Time `json:"since"`
	// Tolerated is how many more replicas the set can lose now, and Required how many a complete set
	// has to tolerate.
	Tolerated int    `json:"bears"`
	Required  int    `json:"must_bear"`
	Why       string `json:"why"`
}

// String returns the shortage as one line of a table.
func (s *Shortage) String() string {
	return fmt.Sprintf("tolerates %d more losses, must tolerate %d, since %s: %s", s.Tolerated, s.Required, s.Since.UTC().Format(time.RFC3339), s.Why)
}

var shortages = metrics.NewCounter(`waxwinghaven_replica_set_short_total`)

// replicaSetMonitor tracks shortages of the replica set while this replica leads it. The next
// loss in an incomplete set may block all changes, or lose some, so operators must be warned
// while the set still works.
type replicaSetMonitor struct {
	mu    sync.Mutex
	short *Shortage
}

// observe evaluates the leader's latest status.
func (m *replicaSetMonitor) observe(st quorum.Status, must int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	spare := st.MajorityMargin()
	if st.Role != quorum.Leader || spare >= must {
		m.end(st.Role == quorum.Leader)
		return
	}
	next := Shortage{Since: now, Tolerated: spare, Required: must, Why: shortageOf(st, must)}
	if m.short == nil {
		shortages.Inc()
	} else {
		next.Since = m.short.Since
	}
	if m.short == nil || m.short.Tolerated != next.Tolerated {
		logrus.WithFields(logrus.Fields{"bears": next.Tolerated, "must_bear": must, "why": next.Why}).
			Warn("control: The replica set bears fewer losses than it must.")
	}
	m.short = &next
}

func (m *replicaSetMonitor) end(recovered bool) {
	if m.short != nil && recovered {
		logrus.WithFields(logrus.Fields{"short_for": time.Since(m.short.Since).Round(time.Millisecond).String()}).
			Info("control: The replica set bears again as many losses as it must.")
	}
	m.short = nil
}

// current returns the shortage, nil for none.
func (m *replicaSetMonitor) current() *Shortage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.short
}

// shortageOf describes the shortage: voters that do not answer or are being replaced, learners
// that are catching up, and too few voters.
func shortageOf(st quorum.Status, must int) string {
	var why []string
	for _, v := range st.Config.Voters {
		if _, answers := st.Match[v.ID]; !answers && v.ID != st.ID {
			why = append(why, v.Name+" does not answer")
		}
	}
	for _, v := range st.Config.Replaced() {
		why = append(why, v.Name+" is being replaced")
	}
	for _, l := range st.Config.Learners {
		if _, returns := st.Config.Predecessor(l); !returns && st.CaughtUp(l) {
			continue // a spare
		}
		why = append(why, fmt.Sprintf("%s has %d of %d entries", l.Name, st.Match[l.ID], st.Last))
	}
	if n := len(st.Config.Voters); n < quorum.VotersFor(must) {
		why = append(why, fmt.Sprintf("%d voters of %d", n, quorum.VotersFor(must)))
	}
	return strings.Join(why, "; ")
}

// repair takes the next step towards a complete replica set, and records any shortage.
func (r *Replica) repair(ctx context.Context) {
	must := r.set.LossTolerance()
	changed, err := r.node.Repair(ctx, must)
	st, serr := r.node.Status(ctx)
	if serr != nil {
		return // the node is stopping
	}
	r.setMonitor.observe(st, must, time.Now())
	switch {
	case err != nil:
		logrus.Debugf("control: The replica set was not changed: %v.", err)
	case changed:
		logrus.WithFields(logrus.Fields{"voters": names(st.Config.Voters), "learners": names(st.Config.Learners), "old_voters": names(st.Config.Old)}).
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
