// Package rollout tracks which configuration revision each instance has in
// force, as the instances themselves acknowledge it.
package rollout

import (
	"sort"
	"sync"
	"time"
)

// forgetAfter is how long an instance that is silent stays listed.
const forgetAfter = 10 * time.Minute

// Instance is one acknowledgement.
type Instance struct {
	Name     string        `json:"name"`
	Role     string        `json:"role"`
	Revision uint64        `json:"revision"`
	Silent   time.Duration `json:"silent_ns"` // since the last acknowledgement
	seen     time.Time
}

// Table holds the newest acknowledgement of each instance.
type Table struct {
	mu   sync.Mutex
	rows map[string]Instance
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]Instance)} }

// Acknowledge notes what an instance has in force.
func (t *Table) Acknowledge(role, name string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[role+"/"+name] = Instance{Name: name, Role: role, Revision: revision, seen: time.Now()}
}

// List returns the instances heard of lately, in order.
func (t *Table) List() []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Instance
	for key, row := range t.rows {
		row.Silent = time.Since(row.seen)
		if row.Silent > forgetAfter {
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
