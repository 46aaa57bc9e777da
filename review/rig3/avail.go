package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the platform's interface for machines.
type cloud struct {
	r *rig
	h *history

	mu       sync.Mutex
	machines []*machine
}

type machine struct {
	name, state string
	worker      *worker
	token       uint64          // highest fencing token
	waves       map[uint64]bool // for which it has had its upkeep
}

func startCloud(r *rig, h *history, workers []*worker) (*cloud, error) {
	c := &cloud{r: r, h: h}
	for _, w := range workers {
		c.machines = append(c.machines, &machine{name: w.name, state: "up", worker: w, waves: make(map[uint64]bool)})
	}
	ln, err := net.Listen("tcp4", r.addr(cloudNumber, portCloud))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCouldNotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /waxwinghaven/machines", c.list)
	mux.HandleFunc("POST /waxwinghaven/machine-upkeep", c.upkeep)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	return c, nil
}

func (c *cloud) list(out http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for i, m := range c.machines {
		list = append(list, map[string]any{"Machine": m.name, "Pool": m.worker.service, "State": m.state, "Zone": "hall-a", "Labels": []string{"a", fmt.Sprintf("r1-%d", i/3)},
			"Capacity": map[string]any{"Cpu": workerCPU, "MemMb": workerMem, "Gpu": 0}, "Id": m.worker.id})
	}
	write(out, http.StatusOK, map[string]any{"Machines": list, "NextPageToken": ""})
}

func (c *cloud) upkeep(out http.ResponseWriter, in *http.Request) {
	var q struct {
		Machine string
		Wave    uint64
	}
	if err := json.NewDecoder(in.Body).Decode(&q); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(in.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	refuse := func(reason string) {
		c.r.note("platform: upkeep of %s for wave %d refused: %s", q.Machine, q.Wave, reason)
		write(out, http.StatusConflict, map[string]any{"Reason": reason})
	}
	for i, m := range c.machines {
		if m.name != q.Machine {
			continue
		}
		if token < m.token {
			refuse("fence")
			return
		}
		m.token = token
		if m.state != "up" {
			refuse("busy")
			return
		}
		if m.waves[q.Wave] {
			write(out, http.StatusOK, map[string]any{}) // it has been done already
			return
		}
		c.r.note("platform: upkeep of %s for wave %d, ordered by %s with token %d", q.Machine, q.Wave, in.Header.Get("Lease-Holder"), token)
		m.waves[q.Wave], m.state = true, "upkeep"
		m.worker.end(howOrder, "its machine is in upkeep")
		time.AfterFunc(maintenance, func() { c.restart(i, m) })
		write(out, http.StatusOK, map[string]any{})
		return
	}
	out.WriteHeader(http.StatusBadRequest)
}

func (c *cloud) restart(i int, m *machine) {
	w, err := startWorker(c.r, c.h, i, service, "a", nil)
	if err != nil {
		c.r.note("platform: %v", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.worker, m.state = w, "up"
}

// end ends all workers.
func (c *cloud) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		m.worker.end(howGone, "the case has ended")
	}
}

// startFleet starts the system with a platform and workers.
func startFleet(r *rig, n int) (*cloud, *history, error) {
	if err := r.startSystem(n, config(1)); err != nil {
		return nil, nil, err
	}
	h := &history{}
	var all []*worker
	for i := range n {
		w, err := startWorker(r, h, i, service, "a", nil)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, w)
	}
	c, err := startCloud(r, h, all)
	time.Sleep(4 * time.Second)
	return c, h, err
}

// startStanding hands in jobs of tasks that last, of which one may be away at a time, and waits until all
// have been at work for a while.
func startStanding(r *rig, h *history, jobs, tasks, cpu int) (ids []string, err error) {
	for range jobs {
		id := newID()
		job := map[string]any{"Spec": fmt.Sprintf("lasts=1&cpu=%d&mem=20000", cpu),
			"Phases": []any{map[string]any{"Count": tasks, "Cpu": cpu, "MemMb": 20000, "LongRunning": true, "MaxUnavailable": 1}}}
		if err := r.submit(watchPrefix, id, job); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	atWork := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, id := range ids {
			if len(h.absent(id+".0.0", tasks, time.Now())) > 0 {
				return false
			}
		}
		return true
	}
	if !await(10*time.Second, atWork) {
		return nil, fmt.Errorf("%w: the tasks are not at work", errCouldNotRun)
	}
	time.Sleep(6 * time.Second)
	return ids, nil
}

// startWave asks for a wave of upkeep.
func (r *rig) startWave(number int, machines []string, atOnce int, lasts time.Duration) error {
	body := map[string]any{"Wave": number, "Machines": machines, "DurationS": lasts.Seconds(), "MaxConcurrency": atOnce}
	for range 20 {
		for i := range controls {
			status, _, err := call(http.MethodPost, "http://"+r.addr(firstControl+i, portControl)+"/waxwinghaven/wave-start", "", body, time.Second, nil)
			r.note("operator: wave-start %d %v: %d %v", number, machines, status, err)
			if err == nil && status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: the wave was not acknowledged", errCouldNotRun)
}

// cancelsInAWave has some jobs cancelled while the first machine of a wave is down. With the room that
// they leave, the leader moves a task off the second machine, though its sister on the first one is away.
func cancelsInAWave(r *rig) (breaks []string, err error) {
	const (
		workers, tasks     = 8, 6
		cpu                = 9_000
		fillers, cancelled = 17, 4
		waveLasts          = 8 * time.Second
	)
	c, h, err := startFleet(r, workers)
	if err != nil {
		return nil, err
	}
	defer c.end()
	ids, err := startStanding(r, h, 1, tasks, cpu)
	if err != nil {
		return nil, err
	}
	var others []string
	for range fillers {
		id := newID()
		job := map[string]any{"Spec": "ms=100000&cpu=9000&mem=6000", "Phases": []any{map[string]any{"Count": 3, "Cpu": 9000, "MemMb": 6000, "EstimatedMs": 100000}}}
		if err := r.submit(batchPrefix, id, job); err != nil {
			return nil, err
		}
		others = append(others, id)
	}
	time.Sleep(3 * time.Second)
	var names []string
	c.mu.Lock()
	for _, m := range c.machines {
		if m.worker.count(ids[0]) > 0 && len(names) < 2 {
			names = append([]string{m.name}, names...)
		}
	}
	c.mu.Unlock()
	// The machine whose worker has the higher id is named first.
	if err := r.startWave(1, names, 2, waveLasts); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool { return h.countEnds(ids[0], howOrder) > 0 }) {
		return nil, fmt.Errorf("%w: no upkeep has begun", errCouldNotRun)
	}
	if r.trouble {
		time.Sleep(300 * time.Millisecond)
		for _, id := range others[:cancelled] {
			status, _, err := call(http.MethodDelete, "http://"+r.addr(firstEntry, portCallers)+batchPrefix+id, callerHost, nil, 3*time.Second, map[string]string{"Deadline-Ms": "3000"})
			r.note("client: DELETE %s%s: %d %v", batchPrefix, id, status, err)
		}
	}
	time.Sleep(15 * time.Second)
	return h.orderedAway(ids[0]+".0.0", tasks, 1), nil
}
