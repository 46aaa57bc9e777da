// Package load is a load generator with bounds on requests and concurrency. It sends each
// request with a unique token, checks that the response is complete and has the same token,
// and counts outcomes.
package load

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/waxwinghaven/waxwinghaven/header"
	"github.com/waxwinghaven/waxwinghaven/standin"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// Bounds of a run.
const (
	MaxRequests    = 2_000_000
	MaxConcurrency = 2048
	sendTimeout    = 70 * time.Second
)

// Options describe a run.
type Options struct {
	Addresses   []string // of entries, used in turn
	Host        string
	Path        string
	Method      string
	Requests    int
	Concurrency int
	// Rate is the number of requests started per second, 0 for as many as the
	// concurrency allows. With a rate the load is open: requests beyond the concurrency
	// do not wait but are dropped and counted.
	Rate     float64
	Duration time.Duration // ends a run early, 0 for none
	Timeout  time.Duration // sent as the caller's deadline, 0 for none
	Keyed    bool          // sends an Idempotency-Key
	From     string        // local IP number, empty for any
	// Ready lists the entries' health addresses, in the order of Addresses.
	// If given, the tool acts like the platform's load balancer: it sends
	// nothing to an entry that reports that it is not ready.
	Ready []string
}

// Result holds the measurements of a run.
type Result struct {
	Requests  int            `json:"requests"`
	Seconds   float64        `json:"seconds"`
	PerSecond float64        `json:"per_second"`
	Outcomes  map[string]int `json:"outcomes"` // "done", or outcome and reason
	P50       float64        `json:"p50_ms"`   // of done requests
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p99_9_ms"`
	RefuseP99 float64        `json:"refuse_p99_ms"` // of refused ones
	NotOwn    int            `json:"not_own_answer"`
	// Tokens holds the outcomes by token, for comparison with the upstream's
	// own record.
	Tokens map[string]header.Outcome `json:"-"`
}

type sample struct {
	took    float64
	outcome header.Outcome
	reason  string
	token   string
	notOwn  bool
}

type runner struct {
	o       Options
	clients []*fasthttp.HostClient
	ready   []atomic.Bool
	prefix  string
}

// Run sends the load and waits for its end.
func Run(o Options) (Result, error) {
	if o.Requests < 1 || o.Requests > MaxRequests || o.Concurrency < 1 || o.Concurrency > MaxConcurrency {
		return Result{}, fmt.Errorf("load: requests must be 1 to %d and concurrency 1 to %d", MaxRequests, MaxConcurrency)
	}
	for _, a := range o.Addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return Result{}, fmt.Errorf("load: %q is not a loopback address; this tool loads only its own machine", a)
		}
	}
	r := &runner{o: o, prefix: strconv.FormatInt(time.Now().UnixNano(), 36)}
	for _, a := range o.Addresses {
		r.clients = append(r.clients, r.client(a))
	}
	r.ready = make([]atomic.Bool, len(r.clients))
	for i := range r.ready {
		r.ready[i].Store(true)
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, addr := range o.Ready {
		go r.watchReady(i, addr, stop)
	}
	start := time.Now()
	samples := r.run(start)
	return summarise(samples, time.Since(start)), nil
}

const readyEvery = 20 * time.Millisecond

// watchReady polls an entry's readiness until stop is closed.
func (r *runner) watchReady(i int, addr string, stop chan struct{}) {
	for {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+addr+"/readyz", time.Second)
		r.ready[i].Store(err == nil && status == fasthttp.StatusOK)
		select {
		case <-stop:
			return
		case <-time.After(readyEvery):
		}
	}
}

// pick returns the client for request n. It uses the entries in turn and skips those that are
// not ready, unless none is.
func (r *runner) pick(n int) *fasthttp.HostClient {
	for i := range r.clients {
		if at := (n + i) % len(r.clients); r.ready[at].Load() {
			return r.clients[at]
		}
	}
	return r.clients[n%len(r.clients)]
}

func (r *runner) client(addr string) *fasthttp.HostClient {
	return transport.NewHost(addr, transport.NewClient(nil, r.o.From).Dialer(), r.o.Concurrency)
}

// run sends the requests, at Rate if it is set, and returns a sample of each.
func (r *runner) run(start time.Time) []sample {
	feed := make(chan int)
	out := make([][]sample, r.o.Concurrency)
	var wg sync.WaitGroup
	for w := range r.o.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range feed {
				out[w] = append(out[w], r.send(n))
			}
		}()
	}
	dropped := r.feed(feed, start)
	close(feed)
	wg.Wait()
	var all []sample
	for _, list := range out {
		all = append(all, list...)
	}
	for range dropped {
		all = append(all, sample{outcome: "dropped", reason: "no-free-worker"})
	}
	return all
}

func (r *runner) feed(feed chan<- int, start time.Time) (dropped int) {
	for n := range r.o.Requests {
		if r.o.Duration > 0 && time.Since(start) > r.o.Duration {
			return dropped
		}
		if r.o.Rate == 0 {
			feed <- n
			continue
		}
		due := start.Add(time.Duration(float64(n) / r.o.Rate * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case feed <- n:
		default:
			dropped++
		}
	}
	return dropped
}

func (r *runner) send(n int) sample {
	q, p := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(p)
	s := sample{token: r.prefix + "-" + strconv.Itoa(n)}
	q.Header.SetMethod(r.o.Method)
	q.SetRequestURI(r.o.Path)
	q.Header.SetHost(r.o.Host)
	q.Header.Set(standin.TokenHeader, s.token)
	if r.o.Timeout > 0 {
		q.Header.Set(header.Timeout, strconv.FormatInt(r.o.Timeout.Milliseconds(), 10))
	}
	if r.o.Keyed {
		q.Header.Set(header.Key, s.token)
	}
	start := time.Now()
	err := r.pick(n).DoTimeout(q, p, sendTimeout)
	s.took = float64(time.Since(start)) / float64(time.Millisecond)
	s.read(p, err)
	if r.o.Timeout > 0 && s.outcome == header.Done && s.took > float64((r.o.Timeout+lateTolerance).Milliseconds()) {
		s.reason = "too-late" // the caller has given up by then
	}
	return s
}

// lateTolerance is how long after its deadline a response may arrive, for the transit time.
const lateTolerance = 50 * time.Millisecond

func (s *sample) read(p *fasthttp.Response, err error) {
	switch {
	case err != nil && header.NeverSent(err):
		s.outcome, s.reason = header.NotRun, "connect"
	case err != nil:
		s.outcome, s.reason = header.Unknown, "connection"
	default:
		s.outcome = header.Outcome(p.Header.Peek(header.OutcomeName))
		s.reason = string(p.Header.Peek(header.Reason))
		if s.outcome == "" { // sent directly to an upstream
			s.outcome = header.Done
		}
		if s.outcome == header.Done && p.StatusCode() >= fasthttp.StatusInternalServerError {
			s.reason = "status-" + strconv.Itoa(p.StatusCode())
		}
		s.notOwn = s.outcome == header.Done && s.reason == "" && !bytes.HasPrefix(p.Body(), []byte("answer to "+s.token+"\n"))
	}
}

func summarise(samples []sample, took time.Duration) Result {
	res := Result{Requests: len(samples), Seconds: took.Seconds(), Outcomes: make(map[string]int), Tokens: make(map[string]header.Outcome)}
	var done, refused []float64
	for _, s := range samples {
		key := string(s.outcome)
		if s.reason != "" {
			key += " " + s.reason
		}
		res.Outcomes[key]++
		if s.token != "" {
			res.Tokens[s.token] = s.outcome
		}
		if s.notOwn {
			res.NotOwn++
		}
		switch {
		case s.outcome == header.Done && s.reason == "":
			done = append(done, s.took)
		case s.outcome == header.NotRun:
			refused = append(refused, s.took)
		}
	}
	res.PerSecond = float64(len(done)) / took.Seconds()
	res.P50, res.P99, res.P999 = Quantile(done, 0.5), Quantile(done, 0.99), Quantile(done, 0.999)
	res.RefuseP99 = Quantile(refused, 0.99)
	return res
}

// Quantile returns the q-quantile of a list, which it sorts.
func Quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	i := int(math.Ceil(q*float64(len(list)))) - 1
	return list[min(max(i, 0), len(list)-1)]
}

// Table formats a result as text.
func (r Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests %d in %.2f s, %.0f done/s\n", r.Requests, r.Seconds, r.PerSecond)
	fmt.Fprintf(&b, "latency ms   p50 %.3f   p99 %.3f   p99.9 %.3f   refused p99 %.3f\n", r.P50, r.P99, r.P999, r.RefuseP99)
	keys := make([]string, 0, len(r.Outcomes))
	for k := range r.Outcomes {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, "%8d  %s\n", r.Outcomes[k], k)
	}
	if r.NotOwn > 0 {
		fmt.Fprintf(&b, "%8d  ANSWERS THAT WERE NOT THE CALLER'S OWN\n", r.NotOwn)
	}
	return b.String()
}
