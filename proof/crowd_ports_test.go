package proof

import (
	"fmt"
	"net/http"
	"testing"
)

// Guards against idle connections to any port of a process that end it or keep others out, there or
// at its other ports.
func TestIdleConnectionsToAnyPortKeepNobodyOut(t *testing.T) {
	s := newCrowdSystem(t, crowdLimits{descriptors: crowdDescriptors}, crowdLimits{descriptors: crowdDescriptors})
	s.add("agent", "127.9.65.21", crowdLimits{descriptors: crowdDescriptors},
		fmt.Sprintf("[agent]\n[platform]\nannounce = %q\nworker = %q\n", crowdAnnounce, crowdWorker))
	for _, port := range []struct{ name, address, path string }{
		{"ready", crowdReady, "/waxwinghaven/readyz"},
		{"metrics", crowdMetrics, "/metrics"},
		{"announce", crowdAnnounce, "/"},
		{"messages", fmt.Sprint("127.9.65.11:", crowdMessages), "/"},
		{"operators", fmt.Sprint("127.9.65.11:", crowdOperators), "/waxwinghaven/config"},
		{"operator", fmt.Sprint("127.9.65.11:", crowdOperator), "/healthz"},
	} {
		t.Run(port.name, func(t *testing.T) {
			s.eventually(port.name+" listens", func() error {
				_, err := crowdCall(http.MethodGet, "http://"+port.address+port.path, nil, "")
				return err
			})
			c := connectCrowd(t, port.address, crowdIdleClients, "")
			defer c.close()
			s.eventually(port.name+" answers", func() error {
				_, err := crowdCall(http.MethodGet, "http://"+port.address+port.path, nil, "")
				return err
			})
			s.ordinaryCall()
			s.check()
		})
	}
}

// crowdOwnIP is the address of a process with all roles.
const crowdOwnIP = "127.9.66.1"

// newOwnSystem starts all roles with their own interfaces, without the platform's.
func newOwnSystem(t *testing.T, l crowdLimits) *crowdSystem {
	t.Helper()
	isolateTest(t)
	dir := t.TempDir()
	s := &crowdSystem{t: t, dir: dir, processes: make(map[string]*soakProcess), limits: make(map[string]crowdLimits)}
	t.Cleanup(s.end)
	s.start("own", l, fmt.Sprintf("[instance]\nname = \"own\"\ndata_centre = \"dc\"\nip = %q\nmemory_mb = %d\n[log]\nformat = \"json\"\n[peers]\ncontrol = [\"%s:7821\"]\n"+
		"[control]\nport = 7821\noperator_port = 7822\ndata_folder = %q\n[entry]\nport = 7823\nhealth_port = 7824\n[agent]\nport = 7825\nlocal_port = 7826\n",
		crowdOwnIP, l.memoryMB, crowdOwnIP, dir+"/data"))
	return s
}

// answers waits until a port of the product's own interfaces answers a call.
func (s *crowdSystem) answers(port int) {
	s.t.Helper()
	s.eventually(fmt.Sprint("port ", port, " answers"), func() error {
		_, err := crowdCall(http.MethodGet, fmt.Sprintf("http://%s:%d/healthz", crowdOwnIP, port), nil, "")
		return err
	})
}

// Guards against the product's own interfaces making room for bodies before they arrive: each allows
// 1 MiB or more.
func TestAnnouncedBodiesTakeNoMemoryAtOwnPorts(t *testing.T) {
	for _, port := range []int{7823, 7825, 7826, 7821, 7822} {
		t.Run(fmt.Sprint(port), func(t *testing.T) {
			s := newOwnSystem(t, crowdLimits{memoryMB: crowdMemoryMB})
			s.answers(port)
			connectCrowd(t, fmt.Sprintf("%s:%d", crowdOwnIP, port), crowdAnnouncing,
				fmt.Sprintf("POST /v1/changes HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n{", 1<<20))
			s.answers(port)
			s.check()
		})
	}
}

// Guards against idle connections to the product's own ports that end the process or keep others out.
func TestIdleConnectionsToOwnPortsKeepNobodyOut(t *testing.T) {
	s := newOwnSystem(t, crowdLimits{descriptors: crowdDescriptors})
	for port := 7821; port <= 7826; port++ {
		s.answers(port)
		connectCrowd(t, fmt.Sprintf("%s:%d", crowdOwnIP, port), crowdIdleClients, "")
		s.answers(port)
		s.check()
	}
}
