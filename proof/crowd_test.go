package proof

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	crowdMemoryMB    = 96
	crowdDescriptors = 160
	// crowdAnnouncing clients announce bodies of 1 MiB. The system gives memory when it is first
	// written, which is so for a part of it only.
	crowdAnnouncing = 500
	// crowdMemoryClients would hold more than crowdMemoryMB with a body of 1 MiB each.
	crowdMemoryClients = 150
	// crowdIdleClients is more than a process with crowdDescriptors can accept.
	crowdIdleClients = 300
)

// submitHead is the head of a submission, with the header fields that tell the body's length.
func submitHead(length string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\n%s\r\n\r\n", crowdPrefix, crowdID(), crowdHost, length)
}

// Guards against an entry that makes room for bodies of the announced length before they arrive.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{memoryMB: crowdMemoryMB}, crowdLimits{})
	connectCrowd(t, crowdCallers, crowdAnnouncing, submitHead(fmt.Sprint("Content-Length: ", 1<<20))+"{")
	s.ordinaryCall()
	s.check()
}

// Guards against bodies that grow in chunks without a bound on all of them together.
func TestUnfinishedChunkedBodiesStayWithinMemory(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{memoryMB: crowdMemoryMB}, crowdLimits{})
	c := connectCrowd(t, crowdCallers, crowdMemoryClients, submitHead("Transfer-Encoding: chunked"))
	const chunk = 16 << 10
	data := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	c.writeAll(strings.Repeat(data, 1<<20/chunk-1))
	s.ordinaryCall()
	s.check()
}

// Guards against bodies inside the limit of which each is held until all arrive.
func TestUnfinishedBodiesInsideTheLimitStayWithinMemory(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{memoryMB: crowdMemoryMB}, crowdLimits{})
	const length = 262144
	c := connectCrowd(t, crowdCallers, 3*crowdMemoryClients, submitHead(fmt.Sprint("Content-Length: ", length)))
	c.writeAll(strings.Repeat(" ", length-1))
	s.ordinaryCall()
	s.check()
}

// Guards against jobs of very many steps that are decoded before they are checked.
func TestJobsOfManyStepsStayWithinMemory(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{memoryMB: crowdMemoryMB}, crowdLimits{memoryMB: 280})
	for _, step := range []string{`{}`, `{"Count":1}`, `{"Count":1,"DependsOn":[0,0,0,0,0,0,0,0]}`, `{"Image":[[[[[[[[]]]]]]]]}`} {
		body := `{"Spec":"","Phases":[` + step + strings.Repeat(","+step, 250_000/(len(step)+1)-1) + `]}`
		request := submitHead(fmt.Sprint("Content-Length: ", len(body))) + body
		c := connectCrowd(t, crowdCallers, 40, "")
		c.writeAll(request)
		if open := c.awaitEnds(); open > 0 {
			t.Errorf("%d of %d are neither answered nor closed", open, len(c.conns))
		}
		c.close()
		s.ordinaryCall()
		s.check()
	}
}

// Guards against replicas that accept jobs until these have taken all their memory.
func TestAcceptedJobsStayWithinMemory(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{memoryMB: 160})
	payload := strings.Repeat("x", 4000)
	for _, body := range []string{
		`{"Spec":"` + payload + `","Phases":[{"Count":1,"Cpu":1}],"RepeatCount":20000,"IntervalMs":1}`,
		`{"Spec":"` + payload + `","Phases":[{"Count":20000,"Cpu":1,"LongRunning":true}]}`,
		crowdJob(100),
	} {
		for range 80 {
			// Accepted or refused, or without an answer: the verdict is on what it costs.
			crowdCall(http.MethodPost, submitURL(), nil, body)
		}
		s.check()
	}
	s.eventually("a look-up is answered", func() error {
		status, err := crowdCall(http.MethodGet, submitURL(), nil, "")
		if err == nil && status != http.StatusGone {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	s.check()
}

// Guards against an entry that ends when idle connections have taken its last descriptor, and
// against idle connections that keep others out.
func TestIdleConnectionsKeepNobodyOut(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{descriptors: crowdDescriptors}, crowdLimits{})
	connectCrowd(t, crowdCallers, crowdIdleClients, "")
	s.ordinaryCall()
	s.check()
}

// Guards against an entry that ends, or serves nobody else, when clients send their headers byte by byte.
func TestSlowHeadersKeepNobodyOut(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{descriptors: crowdDescriptors}, crowdLimits{})
	c := connectCrowd(t, crowdCallers, crowdIdleClients, "POST /")
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		c.writeAll("x")
	}
	s.ordinaryCall()
	s.check()
}

// Guards against replicas that end when a crowd of submissions takes their last descriptor.
func TestSubmissionsAtOnceEndNoReplica(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{descriptors: crowdDescriptors})
	c := connectCrowd(t, crowdCallers, 600, "")
	c.writeAll(submitHead(fmt.Sprint("Content-Length: ", len(crowdJob(1)))) + crowdJob(1))
	s.ordinaryCall()
	s.configure(16384, 262144)
	s.check()
}

// Guards against a replica that ends, or loses what it acknowledged, when idle connections to its
// ports leave it no descriptor for its next file.
func TestReplicasWriteOnBesideIdleConnections(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{descriptors: crowdDescriptors})
	for i := 1; i <= 3; i++ {
		for _, port := range []int{crowdMessages, crowdOperators, crowdOperator} {
			connectCrowd(t, fmt.Sprintf("127.9.65.1%d:%d", i, port), crowdIdleClients, "")
		}
	}
	for range 50 { // more than a snapshot's entries
		s.ordinaryCall()
	}
	s.configure(16384, 262144)
	s.check()
}

// Guards against clients that send calls and never read the answers, which held their connections for ever.
func TestUnreadAnswersDontHoldConnections(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{descriptors: crowdDescriptors}, crowdLimits{})
	// The entry answers this call by itself, at once.
	call := fmt.Sprintf("PUT %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", crowdPrefix, crowdID(), crowdHost)
	pid := s.processes["entry"].current().cmd.Process.Pid
	before := openDescriptors(t, pid)
	c := connectCrowd(t, crowdCallers, 60, "")
	c.writeAll(strings.Repeat(call, 200_000))
	s.eventually("most connections are closed", func() error {
		if open := openDescriptors(t, pid); open > before+len(c.conns)/2 {
			return fmt.Errorf("%d descriptors open, %d before", open, before)
		}
		return nil
	})
	s.ordinaryCall()
	s.check()
}

// Guards against calls with a very long deadline that are held while no replica answers.
func TestLongDeadlinesHoldNoCalls(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{})
	const deadline = "Deadline-Ms: 950400000" // eleven days
	submit := strings.Replace(submitHead(fmt.Sprint("Content-Length: ", len(crowdJob(1)))), "Deadline-Ms: 3000", deadline, 1) + crowdJob(1)
	get := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", crowdPrefix, crowdID(), crowdHost, deadline)
	for i := 1; i <= 3; i++ {
		thaw := s.processes[fmt.Sprint("control-", i)].freeze()
		defer thaw()
	}
	c := connectCrowd(t, crowdCallers, 60, submit)
	c.conns = append(c.conns, connectCrowd(t, crowdCallers, 60, get).conns...)
	if open := c.awaitEnds(); open > 0 {
		t.Errorf("%d of %d calls are still held", open, len(c.conns))
	}
	s.check()
}

// Guards against calls inside the limits of the configuration that are refused, also by limits of an
// earlier version, and against longer bodies that are taken.
func TestCallsInsideTheLimitsAreServed(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{})
	pad := func(n int) string { j := crowdJob(1); return j + strings.Repeat(" ", n-len(j)) }
	check := func(want int, headers map[string]string, body string) {
		t.Helper()
		url := submitURL()
		s.eventually(fmt.Sprintf("status %d for %d bytes", want, len(body)), func() error {
			status, err := crowdCall(http.MethodPost, url, headers, body)
			if err == nil && status != want {
				err = fmt.Errorf("status %d", status)
			}
			return err
		})
	}
	check(http.StatusOK, map[string]string{"X-Note": strings.Repeat("n", 12_000)}, crowdJob(1))
	check(http.StatusOK, nil, pad(262144))
	check(http.StatusOK, map[string]string{"Expect": "100-continue"}, pad(100_000))
	check(http.StatusRequestEntityTooLarge, nil, pad(262145))
	check(http.StatusOK, nil, crowdJob(101))
	s.configure(40_000, 2<<20)
	check(http.StatusOK, nil, pad(2<<20))
	check(http.StatusOK, map[string]string{"X-Note": strings.Repeat("n", 36_000)}, crowdJob(1))
	s.configure(16384, 100_000)
	check(http.StatusRequestEntityTooLarge, nil, pad(100_001))
	s.check()
}

// Guards against a shutdown that waits for clients who send no whole request.
func TestShutdownDoesntWaitForACrowd(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{}, crowdLimits{})
	connectCrowd(t, crowdCallers, 60, "")
	connectCrowd(t, crowdCallers, 60, "POST /")
	connectCrowd(t, crowdCallers, 60, submitHead("Content-Length: 1000")+"{")
	entry := s.processes["entry"].detach()
	delete(s.processes, "entry")
	t.Cleanup(entry.kill)
	entry.signal(syscall.SIGTERM)
	select {
	case <-entry.ended:
	case <-time.After(6 * time.Second): // GraceS of the users' pages
		t.Error("the entry runs on after the time that the platform allows for a shutdown")
	}
}
