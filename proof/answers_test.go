package proof

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwinghaven/waxwinghaven/load"
	"github.com/waxwinghaven/waxwinghaven/standin"
)

func (f *fleet) setFault(n standin.Fault) {
	f.t.Helper()
	for i := 1; i <= 3; i++ {
		resp, err := http.Get(fmt.Sprintf("http://%s:7107/standin/fault?n=%d", f.back(i), n))
		if err != nil {
			f.t.Fatal(err)
		}
		resp.Body.Close()
	}
}

// Guards against partial or mixed-up answers. Upstreams answer late, truncate their answers, omit
// Content-Length, fail, or exceed the size limit. No caller gets a partial answer as complete or
// another caller's answer, neither then nor later on the same connections, and the outcome "done"
// is reported only for complete answers.
func TestAnswersAreCompleteAndTheCallersOwn(t *testing.T) {
	f := newFleet(t, "1ms")
	cases := []struct {
		name  string
		fault standin.Fault
		opts  load.Options
		want  string // the only outcome apart from refusals
	}{
		{"cut", standin.FaultTruncated, load.Options{Method: "POST"}, "unknown answer-cut"},
		{"bare", standin.FaultNoLength, load.Options{Method: "POST"}, "unknown answer-cut"},
		{"error", standin.FaultError, load.Options{Method: "POST"}, "done status-500"},
		{"oversized", standin.FaultNone, load.Options{Method: "POST", Path: "/vault/x?size=9000000"}, "unknown too-large"},
		{"late", standin.FaultNone, load.Options{Method: "POST", Path: "/vault/x?ms=150", Timeout: 60 * time.Millisecond}, "unknown deadline-passed"},
	}
	for _, c := range cases {
		f.setFault(c.fault)
		c.opts.Requests, c.opts.Concurrency = 30, 6
		res := f.load(c.opts)
		t.Logf("%s: %v", c.name, res.Outcomes)
		if res.Outcomes[c.want] == 0 {
			t.Errorf("%s: %v, want %q", c.name, res.Outcomes, c.want)
		}
		for outcome := range res.Outcomes {
			if outcome != c.want && !strings.HasPrefix(outcome, "not-run") {
				t.Errorf("%s: %v", c.name, res.Outcomes)
			}
		}
		f.check(res, true)
		f.setFault(standin.FaultNone)
		f.wait("service after "+c.name, func() bool {
			after := f.load(load.Options{Requests: 300, Concurrency: 6, Method: "GET"})
			f.check(after, false)
			return after.Outcomes["done"] == 300
		})
	}
	f.interleave()
}

// interleave sends fast, slow, small and large requests concurrently.
func (f *fleet) interleave() {
	var wg sync.WaitGroup
	for _, path := range []string{"/vault/x", "/vault/x?ms=20", "/vault/x?size=200000", "/vault/x?ms=7&size=3000"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := f.load(load.Options{Requests: 500, Concurrency: 4, Method: "GET", Path: path})
			if res.NotOwn > 0 || res.Outcomes["done"] != 500 {
				f.t.Errorf("%s: %v, %d not own", path, res.Outcomes, res.NotOwn)
			}
		}()
	}
	wg.Wait()
}

// Guards against processes that fail on malformed input. Every port gets garbage, truncated
// requests, oversized requests and a TLS handshake. Each is answered with an error or the
// connection is closed, and all processes keep serving.
func TestBadInputIsRefusedAtEveryPort(t *testing.T) {
	f := newFleet(t, "1ms")
	var ports []string
	for _, p := range []string{"7101", "7102", "7105", "7106"} {
		ports = append(ports, f.front(1)+":"+p)
	}
	for _, p := range []string{"7103", "7104"} {
		ports = append(ports, f.back(1)+":"+p)
	}
	inputs := map[string]string{
		"garbage":   strings.Repeat("\x00\xff\x13garbage\r\n", 50) + "\r\n\r\n",
		"oversized": "POST /renew HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\nabc",
		"header":    "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 1<<16) + "\r\n\r\n",
		"tls":       "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("z", 100) + "\r\n\r\n",
		"truncated": "POST /quorum HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf",
		"messages":  "POST /quorum HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n\xc1\xff\xff\xff",
		"json":      "POST /v1/changes HTTP/1.1\r\nHost: x\r\nContent-Length: 7\r\n\r\n{\"id\":1",
		"announce":  "POST /announce HTTP/1.1\r\nHost: x\r\nContent-Length: 13\r\n\r\n{\"slots\":-77}",
	}
	for name, in := range inputs {
		for _, addr := range ports {
			if got := sendRaw(t, addr, in); strings.HasPrefix(got, "HTTP/1.1 2") {
				t.Errorf("%s to %s was accepted: %.60q", name, addr, got)
			}
		}
	}
	res := f.load(load.Options{Requests: 300, Concurrency: 6, Method: "GET"})
	if res.Outcomes["done"] != 300 {
		t.Errorf("afterwards: %v", res.Outcomes)
	}
	if _, err := f.ops.Markets(); err != nil {
		t.Errorf("operators afterwards: %v", err)
	}
}

// sendRaw sends text, closes its side of the connection, and returns the answer.
func sendRaw(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("%s has ended: %v", addr, err)
	}
	defer c.Close()
	io.WriteString(c, text)
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	b, _ := io.ReadAll(c)
	return string(b)
}

// Guards against clients that occupy connections by sending incomplete requests. Callers are
// served in the meantime, and the processes close the slow connections.
func TestSlowSendersDelayNoCaller(t *testing.T) {
	f := newFleet(t, "1ms")
	var slow []net.Conn
	for _, addr := range []string{f.front(1) + ":7101", f.front(1) + ":7102", f.entry(1), f.front(1) + ":7106", f.back(1) + ":7103", f.back(1) + ":7104"} {
		for range 20 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, "POST /vault/x HTTP/1.1\r\nHost: x\r\nContent-Le")
			slow = append(slow, c)
		}
	}
	if res := f.load(load.Options{Requests: 300, Concurrency: 6, Method: "GET"}); res.Outcomes["done"] != 300 {
		t.Errorf("beside slow senders: %v", res.Outcomes)
	}
	for _, c := range slow {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if _, err := io.ReadAll(c); err != nil {
			t.Fatalf("a slow connection to %s stayed open: %v", c.RemoteAddr(), err)
		}
	}
}
