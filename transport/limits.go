package transport

import (
	"sync/atomic"
	"syscall"
	"time"

	"github.com/waxwinghaven/waxwinghaven/settings"
)

// Limits are the resources that a process may use. Servers derive from them how much their clients
// may make the process hold.
type Limits struct {
	Files       int   // descriptors, 0 for those that the system allows
	Memory      int64 // bytes, 0 for no bound
	Bodies      int64 // bytes for the bodies of requests, 0 for a share of the memory
	Connections int   // with callers, 0 for what files and memory allow
	MainRoles   int   // roles with a port for many clients
	// Header is the size of a request's head in bytes that each server takes, 0 for the default.
	Header int
	// WriteTimeout is the time in which a client has to take a part of a response, 0 for the default.
	WriteTimeout time.Duration
}

var limits atomic.Pointer[Limits]

// SetLimits sets the limits of this process. It has to be called before servers are made.
func SetLimits(l Limits) {
	if l.Bodies == 0 {
		l.Bodies = int64(bodyShare * float64(l.Memory))
	}
	limits.Store(&l)
	memory.setTotal(l.Bodies)
}

func currentLimits() Limits {
	var l Limits
	if p := limits.Load(); p != nil {
		l = *p
	}
	l.MainRoles = max(l.MainRoles, 1)
	if l.Header == 0 {
		l.Header = settings.DefaultHeaderBytes
	}
	if l.WriteTimeout == 0 {
		l.WriteTimeout = settings.DefaultWriteTimeout
	}
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil && r.Cur < maxFiles && (l.Files == 0 || int(r.Cur) < l.Files) {
		l.Files = int(r.Cur)
	}
	if l.Files == 0 || l.Files > maxFiles {
		l.Files = maxFiles
	}
	return l
}

const (
	// maxFiles is the number of descriptors that a process plans with if it may open more.
	maxFiles = 1 << 16
	// Shares of the descriptors. What the shares leave is for files and for what the libraries open.
	dialledShare = 4 // one in so many is for connections to other processes
	fewShare     = 16
	filesShare   = 8
	maxFew       = 64  // connections
	maxOwnFiles  = 256 // descriptors
	fewPorts     = 4   // ports for few clients that one process has at most
	// Shares of the memory, for connections and for the bodies of requests.
	connShare = 0.25
	bodyShare = 0.25
	// connCost is the memory of a caller's connection in bytes besides its read buffer: the part of a
	// body that is read with the head, its goroutine, and data that has arrived but was not read.
	connCost = prefetchBytes + receiveBufferBytes + 16<<10
	// receiveBufferBytes bounds what the system keeps of a caller's data that was not read.
	receiveBufferBytes = 32 << 10
	// prefetchBytes is what fasthttp reads of a body before the handler is called.
	prefetchBytes = 8 << 10
)

// Clients tells who connects to a server.
type Clients int

// The kinds of clients.
const (
	// Few are operators, the load balancer, readers of metrics, and the worker on the same instance.
	Few Clients = iota
	// Callers are clients that nobody controls.
	Callers
	// Processes are the system's other processes.
	Processes
)

// maxConnections returns how many connections a server for these clients may hold.
func (l Limits) maxConnections(c Clients, headerBytes int) int {
	few := max(2, min(maxFew, l.Files/fewShare))
	if c == Few {
		return few
	}
	n := (l.Files - min(maxOwnFiles, l.Files/filesShare) - l.dialled(c) - fewPorts*few) / l.MainRoles
	if c == Callers && l.Memory > 0 {
		n = min(n, int(connShare*float64(l.Memory))/(connCost+headerBytes))
	}
	n = max(n, few)
	if c == Callers && l.Connections > 0 {
		n = min(n, l.Connections)
	}
	return n
}

// dialled returns how many connections to other processes are reserved for.
func (l Limits) dialled(c Clients) int {
	if c == Processes {
		return min(maxOwnFiles, l.Files/dialledShare)
	}
	return l.Files / dialledShare
}

// connectionsTo returns how many connections a process may open to another one.
func (l Limits) connectionsTo() int {
	return max(2, min(maxConns, l.Files/dialledShare/peersAtOnce))
}

// peersAtOnce is the number of processes to which a process keeps many connections: the control
// replicas.
const peersAtOnce = 4
