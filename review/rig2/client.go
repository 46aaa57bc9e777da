package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host      = "nony24.example"
	prefix    = "/lohu930/"
	prefixLow = "/pufi791/" // of a second queue, with a lower priority
	service   = "vault-app"
	attempts  = 3 // MaxAttempts of the route
	callLimit = 3 * time.Second
	pollPause = 100 * time.Millisecond
)

// phase is what the workers need to know of a step of a job.
type phase struct {
	count int
	work  time.Duration // 0 for tasks that last
	gang  bool
}

// job is a job of the client.
type job struct {
	id     string
	prefix string
	body   string
	phases []phase
}

// client hands jobs in and asks for their states, as the platform's clients do.
type client struct {
	c    *cluster
	http *http.Client

	mu   sync.Mutex
	jobs map[string]*job // by id; the workers look their tasks up here
}

func newClient(c *cluster) *client {
	return &client{c: c, http: &http.Client{Timeout: callLimit}, jobs: make(map[string]*job)}
}

func (cl *client) newJob(body string, phases ...phase) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, body: body, phases: phases}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.jobs[j.id] = j
	return j
}

// phaseOf returns the step that a task belongs to.
func (cl *client) phaseOf(t taskName) (phase, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	j := cl.jobs[t.job]
	if j == nil || t.step >= len(j.phases) {
		return phase{}, false
	}
	return j.phases[t.step], true
}

func (cl *client) call(method string, j *job, body string) (int, string) {
	url := "http://" + cl.c.addr(hostEntry, portEntry) + j.prefix + j.id
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := cl.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// submit hands a job in until it is accepted.
func (cl *client) submit(j *job, within time.Duration) error {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollPause) {
		status, body := cl.call(http.MethodPost, j, j.body)
		if answer := fmt.Sprintf("POST %s -> %d %s", j.id, status, body); answer != last {
			last = answer
			cl.c.rec.log("client", "%s", answer)
		}
		if status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted: %s", j.id, last)
}

// state returns a job's state, "" if it was not answered with one.
func (cl *client) state(j *job) string {
	status, body := cl.call(http.MethodGet, j, "")
	if status != http.StatusOK {
		cl.c.rec.log("client", "GET %s -> %d %s", j.id, status, body)
		return ""
	}
	var b struct{ State string }
	if json.Unmarshal([]byte(body), &b) != nil {
		return ""
	}
	return b.State
}

// awaitState asks for a job's state until it is the wanted one.
func (cl *client) awaitState(j *job, want string, within time.Duration) bool {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollPause) {
		if s := cl.state(j); s != last {
			last = s
			cl.c.rec.log("client", "GET %s -> %s", j.id, s)
		}
		if last == want {
			return true
		}
	}
	return false
}

// operator sends configurations and waves.
type operator struct {
	c    *cluster
	http *http.Client
}

func newOperator(c *cluster) *operator {
	return &operator{c, &http.Client{Timeout: time.Second}}
}

// call sends an order to one control replica after the other until it is acknowledged.
func (o *operator) call(method, path, body string, within time.Duration) (string, error) {
	last := ""
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		req, err := http.NewRequest(method, "http://"+o.c.addr(hostControl+i%controls, portControl)+path, bytes.NewReader([]byte(body)))
		if err != nil {
			return "", err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := o.http.Do(req)
		if err != nil {
			last = err.Error()
			time.Sleep(pollPause)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if last = fmt.Sprintf("%d %s", resp.StatusCode, b); resp.StatusCode == http.StatusOK {
			return string(b), nil
		}
		time.Sleep(pollPause)
	}
	return "", fmt.Errorf("%s %s was not acknowledged: %s", method, path, last)
}

func (o *operator) sendConfig(version int, within time.Duration) error {
	advice := ""
	if o.c.advisor != nil {
		advice = fmt.Sprintf(`,"Advisor":{"DecisionMs":%d,"PerWorkerMs":%d,"ValidMs":%d}`, adviceDecision.Milliseconds(), advicePerWorker.Milliseconds(), ticketValid.Milliseconds())
	}
	routes := []string{}
	for priority, at := range map[int]string{0: prefix, 2: prefixLow} {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%d","Host":%q,"PathPrefix":%q,"Type":"unsafe","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":%d,"Service":%q,"MaxAttempts":%d,"SlackFactor":2.0%s}`,
			priority, host, at, priority, service, attempts, advice))
	}
	body := fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"HealthPath":"/healthz","MaxConnections":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, strings.Join(routes, ","), service)
	_, err := o.call(http.MethodPut, "/waxwinghaven/config", body, within)
	o.c.rec.log("operator", "PUT config %d: acknowledged %v", version, err == nil)
	return err
}

// startWave orders the upkeep of machines.
func (o *operator) startWave(number int, names []string, durationS, concurrency int) error {
	list, err := json.Marshal(names)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"Wave":%d,"Machines":%s,"DurationS":%d,"MaxConcurrency":%d}`, number, list, durationS, concurrency)
	o.c.machines.addWave(number, names)
	o.c.rec.log("operator", "POST wave-start %s", body)
	_, err = o.call(http.MethodPost, "/waxwinghaven/wave-start", body, 4*time.Second)
	o.c.rec.log("operator", "wave %d acknowledged: %v", number, err == nil)
	return err
}

// waveState returns a wave's state.
func (o *operator) waveState(number int) string {
	answer, err := o.call(http.MethodGet, fmt.Sprintf("/waxwinghaven/wave-get/%d", number), "", 2*time.Second)
	if err != nil {
		return ""
	}
	var b struct{ State string }
	if json.Unmarshal([]byte(answer), &b) != nil {
		return ""
	}
	return b.State
}
