package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is MaintenanceS: how long a machine is down for its upkeep.
const maintenanceTime = 2 * time.Second

// machines is the stand-in for the platform's interface for machines.
type machines struct {
	c *cluster

	mu     sync.Mutex
	down   map[string]bool
	waves  map[int][]string
	begun  map[int]map[string]bool // machines whose upkeep has begun, by wave
	tokens map[string]uint64       // highest fencing token, by machine
	holder map[string]string
	// onUpkeep is called when a machine goes down, with the tasks that were at work on it.
	onUpkeep func(w *worker, wave int, work []taskName)
}

func newMachines(c *cluster) (*machines, error) {
	m := &machines{c: c, down: make(map[string]bool), waves: make(map[int][]string), begun: make(map[int]map[string]bool), tokens: make(map[string]uint64), holder: make(map[string]string)}
	s := &http.Server{Addr: c.addr(hostPlatform, portMachines), Handler: http.HandlerFunc(m.serve)}
	go s.ListenAndServe()
	return m, nil
}

func (m *machines) addWave(number int, names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves[number], m.begun[number] = names, make(map[string]bool)
}

func (m *machines) serve(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/waxwinghaven/machines":
		m.list(rw)
	case "/waxwinghaven/machine-upkeep":
		m.upkeep(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func write(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(v)
}

func (m *machines) list(rw http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []map[string]any{}
	for _, w := range m.c.workers {
		state, id := "up", ""
		if m.down[w.machine] {
			state = "upkeep"
		} else if l := w.current(); l != nil {
			id = l.id
		}
		rows = append(rows, map[string]any{"Machine": w.machine, "Pool": service, "State": state, "Zone": w.zone, "Labels": w.labels,
			"Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": w.memMB, "Gpu": 0}, "Id": id})
	}
	write(rw, http.StatusOK, map[string]any{"Machines": rows, "NextPageToken": ""})
}

func (m *machines) upkeep(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string
		Wave    int
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&b) != nil || err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := m.order(b.Machine, b.Wave, token)
	m.c.rec.log("platform", "machine-upkeep %s wave %d by %s token %d -> %d %s", b.Machine, b.Wave, r.Header.Get("Lease-Holder"), token, status, reason)
	if reason != "" {
		write(rw, status, map[string]string{"Reason": reason})
		return
	}
	write(rw, status, struct{}{})
}

// order carries out an upkeep order, and returns the status and the reason of a refusal.
func (m *machines) order(machine string, wave int, token uint64) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.IndexFunc(m.c.workers, func(w *worker) bool { return w.machine == machine })
	switch {
	case i < 0:
		return http.StatusBadRequest, ""
	case token < m.tokens[machine]:
		return http.StatusConflict, "fence"
	case !slices.Contains(m.waves[wave], machine):
		return http.StatusConflict, "wave"
	}
	m.tokens[machine] = token
	if m.begun[wave][machine] {
		return http.StatusOK, ""
	}
	if m.down[machine] {
		return http.StatusConflict, "busy"
	}
	m.begun[wave][machine], m.down[machine] = true, true
	w := m.c.workers[i]
	work := w.takeDown()
	m.c.rec.log("platform", "%s goes down for wave %d; tasks at work on it: %v", machine, wave, work)
	if m.onUpkeep != nil {
		m.onUpkeep(w, wave, work)
	}
	time.AfterFunc(maintenanceTime, func() { m.bringUp(w) })
	return http.StatusOK, ""
}

func (m *machines) bringUp(w *worker) {
	if err := w.boot(); err != nil {
		m.c.rec.log("platform", "%s does not come up: %v", w.machine, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.down, w.machine)
}
