// Package rollout tracks which configuration revision each instance has in
// force, as the instances themselves acknowledge it.
package rollout

import (
	"sort"
	"sync"
	"time"
)

// listRetention is how long an instance stays listed after its last acknowledgement.
const listRetention = 10 * time.Minute

// Instance is the newest acknowledgement of one instance.
type Instance struct {
	Name     string        `json:"name"`
	Role     string        `json:"role"`
	Revision uint64        `json:"revision"`
	SinceAck time.Duration `json:"silent_ns"` // since the last acknowledgement
	seen     time.Time
}

// Table holds the newest acknowledgement of each instance.
type Table struct {
	mu   sync.Mutex
	rows map[string]Instance
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]Instance)} }

// Acknowledge records the revision that an instance has in force.
func (t *Table) Acknowledge(role, name string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[role+"/"+name] = Instance{Name: name, Role: role, Revision: revision, seen: time.Now()}
}

// List returns the instances that acknowledged within listRetention, by role and name, with
// the time since then.
func (t *Table) List() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Instance
	for key, row := range t.rows {
		row.SinceAck = time.Since(row.seen)
		if row.SinceAck > listRetention {
			delete(t.rows, key)
			continue
		}
		out = append(out, row)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Role != out[j].Role {
			return out[i].Role < out[j].Role
		}
		return out[i].Name < out[j].Name
	})
	return out
}
