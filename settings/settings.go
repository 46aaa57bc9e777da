// Package settings reads a process's TOML settings file. Decoding is strict: an
// unknown key, a wrong unit or a missing table is an error that names the file, the
// key and the remedy.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Duration is a duration written with its unit, such as "500ms" or "10s".
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler. A number without a unit is an error.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number with a unit, such as \"500ms\" or \"10s\"", b)
	}
	d.Duration = v
	return nil
}

// Settings is the content of one process's settings file.
type Settings struct {
	Instance Instance  `toml:"instance"`
	Log      Log       `toml:"log"`
	Limits   Limits    `toml:"limits"`
	TLS      *TLS      `toml:"tls"`
	Peers    Peers     `toml:"peers"`
	Control  *Control  `toml:"control"`
	Entry    *Entry    `toml:"entry"`
	Agent    *Agent    `toml:"agent"`
	Platform *Platform `toml:"platform"`

	text             string // as it was read
	controlAddresses atomic.Pointer[[]string]
}

// Instance identifies the process and its location.
type Instance struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	// IP is the address that the process binds and dials from.
	IP string `toml:"ip"`
	// MemoryMB is the memory that the process may use, 0 for no bound. The garbage
	// collector runs more often as memory use approaches it.
	MemoryMB int `toml:"memory_mb"`
	// MetricsPort is the port for /metrics of roles that have no other port for it, 0
	// for none.
	MetricsPort int `toml:"metrics_port"`
	// Drain bounds a graceful shutdown.
	Drain Duration `toml:"drain"`
}

// Log is the level and format of the log.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// TLS names the PEM files of the process's key. Without this table the connections
// between processes are unencrypted, which is only acceptable on a single machine.
type TLS struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Limits bounds what clients can make the process hold.
type Limits struct {
	// Files is the number of descriptors that the process may open, 0 for as many as the system
	// allows it.
	Files int `toml:"files"`
	// Connections bounds the connections with callers, 0 for as many as descriptors and memory
	// allow. When all are taken, the one that has waited longest for a request is closed.
	Connections int `toml:"connections"`
	// BodyMB is the memory for the bodies of requests while they are read, decoded and passed on, 0
	// for a quarter of the instance's memory.
	BodyMB int `toml:"body_mb"`
	// HeaderBytes bounds the head of a request.
	HeaderBytes int `toml:"header_bytes"`
	// WriteTimeout is the time in which a client has to take each part of a response.
	WriteTimeout Duration `toml:"write_timeout"`
	// LongestCall bounds how long a call of a caller is held, whatever its deadline.
	LongestCall Duration `toml:"longest_call"`
}

// Peers lists the addresses of the control replicas.
type Peers struct {
	Control []string `toml:"control"`
	// Seeds are bootstrap addresses, given instead of the complete list: those of some
	// control replicas at some earlier time. Some may be unreachable or no longer exist;
	// the replicas that answer return the addresses of the others.
	Seeds []string `toml:"seeds"`
	// SeedPort replaces the port of the seeds, 0 to keep it.
	SeedPort int `toml:"seed_port"`
}

// Control makes the process a control replica.
type Control struct {
	Port         int      `toml:"port"`
	OperatorPort int      `toml:"operator_port"`
	DataFolder   string   `toml:"data_folder"`
	Tick         Duration `toml:"tick"`
	Lease        Duration `toml:"lease"`
	// LongestLease is the longest lease that workers accept from any caller; by default
	// twice the lease that the control grants. After a worker restarts under the same id, a
	// late call for its previous incarnation may grant it a lease of that length.
	LongestLease    Duration `toml:"longest_lease"`
	SnapshotEntries uint64   `toml:"snapshot_entries"`
	Schedule        Duration `toml:"schedule"`
	// LossTolerance is the number of control replicas that may fail simultaneously without
	// loss of availability or data. It is nil if it isn't given; see Losses.
	LossTolerance *int `toml:"bear_losses"`
	// OwnAgents is the number of agents that the leader sends orders to directly, nil for the
	// default. Further agents are referred to followers.
	OwnAgents *int `toml:"own_agents"`
	// DataCentres names the data centres that operators may take out of service, in addition
	// to those in which any part of the system runs.
	DataCentres []string `toml:"data_centres"`
	// FormFromSeeds makes the seeds the initial replica set. Set it only for the first
	// start of the whole system.
	FormFromSeeds bool `toml:"form_from_seeds"`
	// ConcurrentSync lets the replica handle messages and proposals while its log is being
	// synced, so that a commit does not wait for the sync of the one before.
	ConcurrentSync bool `toml:"concurrent_sync"`
	// Contention selects what the leader does when a service has more work than capacity.
	// Everything in it is off by default.
	Contention Contention `toml:"contention"`
}

// Contention switches on the decisions that apply when a service has more work than capacity.
type Contention struct {
	// Waitlist keeps the place of refused jobs, so that they are admitted before jobs that were
	// submitted later.
	Waitlist bool `toml:"waitlist"`
}

// LossTolerance returns the number of control replicas that may fail simultaneously: as given,
// else what the listed replicas tolerate.
func (s *Settings) LossTolerance() int {
	switch {
	case s.Control != nil && s.Control.LossTolerance != nil:
		return *s.Control.LossTolerance
	case len(s.Peers.Control) > 0:
		return (len(s.Peers.Control) - 1) / 2
	}
	return DefaultLossTolerance
}

// Platform makes the process use the users' platform's protocol instead of the system's
// own towards callers, operators and workers. Addresses are an IP number and a port;
// those that the role does not use stay empty.
type Platform struct {
	// Callers and Ready belong to an entry: the addresses that it serves callers and
	// the load balancer on.
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`
	// Operators belongs to a control replica.
	Operators string `toml:"operators"`
	// Announce and Worker belong to an agent: the address at which its worker announces
	// itself, and the worker's own address.
	Announce string `toml:"announce"`
	Worker   string `toml:"worker"`
	// Machines and Advisor belong to a control replica: the addresses of the platform's
	// machine interface and of the advisor, which tells which workers may run a step.
	// Either may be empty.
	Machines string `toml:"machines"`
	Advisor  string `toml:"advisor"`
	// MachineLease is how long a new leader waits before it sends orders for
	// machines; UpkeepTime is how long a machine is down for upkeep.
	MachineLease Duration `toml:"machine_lease"`
	UpkeepTime   Duration `toml:"upkeep_time"`
}

// Entry makes the process an entry instance.
type Entry struct {
	Port int `toml:"port"`
	// HealthPort serves /healthz, /readyz and /metrics to the load balancer.
	HealthPort int `toml:"health_port"`
	// MaxBody is the maximum size of a request or response body, in bytes.
	MaxBody int `toml:"max_body_bytes"`
	// Sync is the interval at which the entry polls the control for updates.
	Sync Duration `toml:"sync"`
	// CutOffAfter is how long the entry assumes that its configuration is in force
	// while no control replica answers.
	CutOffAfter Duration `toml:"cut_off_after"`
	// LeaveWait is how long the entry keeps serving after it has reported to the
	// load balancer that it is not ready.
	LeaveWait Duration `toml:"leave_wait"`
}

// Agent makes the process the agent beside an upstream and a worker.
type Agent struct {
	Port int `toml:"port"`
	// LocalPort is the port on which the upstream announces itself.
	LocalPort int `toml:"local_port"`
	// Renew is the interval of lease renewals.
	Renew   Duration `toml:"renew"`
	MaxBody int      `toml:"max_body_bytes"`
	// AnnounceTimeout is the time after its last heartbeat at which an upstream is
	// considered lost.
	AnnounceTimeout Duration `toml:"announce_timeout"`
	// CordonBound is how long after the acknowledgement of an order that takes the data
	// centre out of service a start may still happen here.
	CordonBound Duration `toml:"cordon_bound"`
}

// cordonMargin is the part of CordonBound reserved for the start call to the worker, which
// times out after half a second, and for scheduling delays on a busy processor.
const cordonMargin = 1500 * time.Millisecond

// MaxConfirmationAge returns the maximum age of the control's last confirmation that the data
// centre is in service at which the agent still starts something. An agent without a recent
// confirmation starts nothing, since a cordon order may have been acknowledged since.
func (a *Agent) MaxConfirmationAge() time.Duration { return a.CordonBound.Duration - cordonMargin }

// Defaults.
const (
	DefaultDrain = 15 * time.Second
	DefaultTick  = 50 * time.Millisecond
	DefaultLease = 8 * time.Second
	// DefaultLongestLeases is the longest lease that workers accept, as a multiple of the
	// control's lease.
	DefaultLongestLeases   = 2
	DefaultSnapshotEntries = 20_000
	// DefaultLossTolerance applies to replicas that are configured with seeds only. It is the
	// tolerance of the smallest set that survives a loss: one replica of three.
	DefaultLossTolerance = 1
	DefaultSchedule      = 100 * time.Millisecond
	// DefaultOwnAgents agents cost the leader a few hundredths of a core. An order that goes
	// through a follower arrives one heartbeat round later.
	DefaultOwnAgents       = 128
	DefaultMaxBody         = 8 << 20
	DefaultSync            = 500 * time.Millisecond
	DefaultCutOffAfter     = 10 * time.Second
	DefaultLeaveWait       = 2 * time.Second
	DefaultRenew           = 500 * time.Millisecond
	DefaultAnnounceTimeout = 3 * time.Second
	DefaultCordonBound     = 5 * time.Second
	DefaultMachineLease    = 3 * time.Second
	DefaultUpkeepTime      = 2 * time.Second
	// DefaultHeaderBytes is the largest head that the users' operators allow, and room for the
	// request line.
	DefaultHeaderBytes = 20 << 10
	// MaxHeaderBytes bounds the head of a request whatever a configuration allows: each connection
	// has a buffer of that size.
	MaxHeaderBytes      = 1 << 20
	DefaultWriteTimeout = 10 * time.Second
	// DefaultLongestCall is ten times the deadline of the users' clients.
	DefaultLongestCall = 30 * time.Second
)

func (d *Duration) orDefault(v time.Duration) {
	if d.Duration == 0 {
		d.Duration = v
	}
}

func (s *Settings) fillDefaults() {
	s.Instance.Drain.orDefault(DefaultDrain)
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "text"
	}
	if s.Limits.HeaderBytes == 0 {
		s.Limits.HeaderBytes = DefaultHeaderBytes
	}
	s.Limits.WriteTimeout.orDefault(DefaultWriteTimeout)
	s.Limits.LongestCall.orDefault(DefaultLongestCall)
	if c := s.Control; c != nil {
		c.Tick.orDefault(DefaultTick)
		c.Lease.orDefault(DefaultLease)
		c.LongestLease.orDefault(DefaultLongestLeases * c.Lease.Duration)
		c.Schedule.orDefault(DefaultSchedule)
		if c.OwnAgents == nil {
			own := DefaultOwnAgents
			c.OwnAgents = &own
		}
		if c.SnapshotEntries == 0 {
			c.SnapshotEntries = DefaultSnapshotEntries
		}
	}
	if e := s.Entry; e != nil {
		e.Sync.orDefault(DefaultSync)
		e.CutOffAfter.orDefault(DefaultCutOffAfter)
		e.LeaveWait.orDefault(DefaultLeaveWait)
		if e.MaxBody == 0 {
			e.MaxBody = DefaultMaxBody
		}
	}
	if p := s.Platform; p != nil {
		p.MachineLease.orDefault(DefaultMachineLease)
		p.UpkeepTime.orDefault(DefaultUpkeepTime)
	}
	if a := s.Agent; a != nil {
		a.Renew.orDefault(DefaultRenew)
		a.AnnounceTimeout.orDefault(DefaultAnnounceTimeout)
		a.CordonBound.orDefault(DefaultCordonBound)
		if a.MaxBody == 0 {
			a.MaxBody = DefaultMaxBody
		}
	}
}

// Load reads and validates a file. Relative paths in it are resolved against its folder.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("%s: cannot be read (%v); check the path", path, err)
	}
	return Parse(path, string(b))
}

// Parse validates the text of a settings file. The path is used in error messages and to
// resolve relative paths.
func Parse(path, text string) (*Settings, error) {
	s := Settings{text: text}
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, Error.New("%s: %v", path, err)
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		names := make([]string, len(unknown))
		for i, k := range unknown {
			names[i] = k.String()
		}
		sort.Strings(names)
		return nil, Error.New("%s: key %s is not known; check its spelling and its table in docs/OPERATIONS.md", path, strings.Join(names, ", "))
	}
	s.fillDefaults()
	if err := s.validate(); err != nil {
		return nil, Error.New("%s: %v", path, err)
	}
	s.resolve(filepath.Dir(path))
	return &s, nil
}

func (s *Settings) resolve(dir string) {
	abs := func(p *string) {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	if s.TLS != nil {
		abs(&s.TLS.Authority)
		abs(&s.TLS.Certificate)
		abs(&s.TLS.Key)
	}
	if s.Control != nil {
		abs(&s.Control.DataFolder)
	}
}

func (s *Settings) validate() error {
	checks := []func() error{s.checkInstance, s.checkLog, s.checkLimits, s.checkTLS, s.checkRoles, s.checkPeers, s.checkPlatform, s.checkPorts, s.checkTimes}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkInstance() error {
	if s.Instance.Name == "" {
		return fmt.Errorf("instance.name is missing; give the instance a name of its own")
	}
	if s.Instance.DataCentre == "" {
		return fmt.Errorf("instance.data_centre is missing; name the data centre the instance stands in")
	}
	if _, err := netip.ParseAddr(s.Instance.IP); err != nil {
		return fmt.Errorf("instance.ip %q is not an IP number; give the address to bind and dial from", s.Instance.IP)
	}
	return nil
}

func (s *Settings) checkLog() error {
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		return fmt.Errorf("log.level %q is not known; use debug, info, warn or error", s.Log.Level)
	}
	if s.Log.Format != "text" && s.Log.Format != "json" {
		return fmt.Errorf("log.format %q is not known; use text or json", s.Log.Format)
	}
	return nil
}

const (
	// minFiles is what a process needs beside its clients' connections, and for a few of them.
	minFiles       = 64
	minHeaderBytes = 4 << 10
)

func (s *Settings) checkLimits() error {
	l := &s.Limits
	switch {
	case l.Files < 0 || (l.Files > 0 && l.Files < minFiles):
		return fmt.Errorf("limits.files is %d; give %d or more, or 0 for as many as the system allows", l.Files, minFiles)
	case l.Connections < 0:
		return fmt.Errorf("limits.connections is %d; give 1 or more, or 0 for as many as descriptors and memory allow", l.Connections)
	case l.BodyMB < 0:
		return fmt.Errorf("limits.body_mb is %d; give 1 or more, or 0 for a quarter of instance.memory_mb", l.BodyMB)
	case l.HeaderBytes < minHeaderBytes || l.HeaderBytes > MaxHeaderBytes:
		return fmt.Errorf("limits.header_bytes is %d; give %d to %d", l.HeaderBytes, minHeaderBytes, MaxHeaderBytes)
	}
	return nil
}

func (s *Settings) checkTLS() error {
	if s.TLS != nil && (s.TLS.Authority == "" || s.TLS.Certificate == "" || s.TLS.Key == "") {
		return fmt.Errorf("tls needs authority, certificate and key; make them with 'waxwinghaven keys make'")
	}
	return nil
}

func (s *Settings) checkRoles() error {
	if s.Control == nil && s.Entry == nil && s.Agent == nil {
		return fmt.Errorf("no role is set; add a [control], [entry] or [agent] table")
	}
	if s.Control != nil && s.Control.DataFolder == "" {
		return fmt.Errorf("control.data_folder is missing; name a folder on the instance's disk")
	}
	if s.Control != nil && *s.Control.OwnAgents < 0 {
		return fmt.Errorf("control.own_agents is %d; give the number of agents that the leader hands orders out to, 0 or more", *s.Control.OwnAgents)
	}
	return s.checkLosses()
}

// maxLossTolerance takes nine replicas, and every change is sent to each of them.
const maxLossTolerance = 4

func (s *Settings) checkLosses() error {
	if s.Control == nil || s.Control.LossTolerance == nil {
		return nil
	}
	tolerance, listed := *s.Control.LossTolerance, len(s.Peers.Control)
	if tolerance < 0 || tolerance > maxLossTolerance {
		return fmt.Errorf("control.bear_losses is %d; give the number of control replicas that may be lost at once, 0 to %d", tolerance, maxLossTolerance)
	}
	if listed > 0 && listed < 2*tolerance+1 {
		return fmt.Errorf("control.bear_losses is %d, which takes %d control replicas; peers.control lists %d", tolerance, 2*tolerance+1, listed)
	}
	return nil
}

func (s *Settings) checkPeers() error {
	if len(s.Peers.Seeds) > 0 {
		return s.checkSeeds()
	}
	if len(s.Peers.Control) == 0 {
		return fmt.Errorf("peers.control is missing; list the address of every control replica")
	}
	seen := make(map[string]bool)
	for _, a := range s.Peers.Control {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("peers.control %q is not an IP number and port; write it like \"10.0.0.1:7101\"", a)
		}
		if seen[a] {
			return fmt.Errorf("peers.control lists %q twice; list every replica once", a)
		}
		seen[a] = true
	}
	if s.Control != nil && !seen[s.Address(s.Control.Port)] {
		return fmt.Errorf("peers.control does not list this replica's own %s; add it", s.Address(s.Control.Port))
	}
	return nil
}

func (s *Settings) checkSeeds() error {
	if len(s.Peers.Control) > 0 {
		return fmt.Errorf("peers.control and peers.seeds are both set; list all replicas in one, or first contacts in the other")
	}
	for _, a := range s.Peers.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("peers.seeds %q is not an IP number and port; write it like \"10.0.0.1:7101\"", a)
		}
	}
	if s.Peers.SeedPort < 0 || s.Peers.SeedPort > maxPort {
		return fmt.Errorf("peers.seed_port is %d; give a port from 1 to %d, or 0 to keep the seeds' own", s.Peers.SeedPort, maxPort)
	}
	return nil
}

// Text returns the text that was read, so that a change of the file can be detected.
func (s *Settings) Text() string { return s.text }

// ControlAddresses returns the bootstrap addresses of the control replicas, according to the
// newest settings that were applied.
func (s *Settings) ControlAddresses() []string {
	if p := s.controlAddresses.Load(); p != nil {
		return *p
	}
	return s.initialControlAddresses()
}

// Apply puts those settings of a newer file in force that need no restart:
// the bootstrap addresses.
func (s *Settings) Apply(newer *Settings) {
	list := newer.initialControlAddresses()
	s.controlAddresses.Store(&list)
}

func (s *Settings) initialControlAddresses() []string {
	if len(s.Peers.Seeds) == 0 {
		return s.Peers.Control
	}
	out := make([]string, 0, len(s.Peers.Seeds))
	for _, a := range s.Peers.Seeds {
		if s.Peers.SeedPort != 0 {
			host, _, _ := net.SplitHostPort(a) // checked when the file was read
			a = net.JoinHostPort(host, fmt.Sprint(s.Peers.SeedPort))
		}
		out = append(out, a)
	}
	return out
}

// ports returns every port in use with its key.
func (s *Settings) ports() map[string]int {
	p := make(map[string]int)
	if s.Instance.MetricsPort != 0 {
		p["instance.metrics_port"] = s.Instance.MetricsPort
	}
	if s.Control != nil {
		p["control.port"], p["control.operator_port"] = s.Control.Port, s.Control.OperatorPort
	}
	if s.Entry != nil {
		if s.Platform == nil {
			p["entry.port"], p["entry.health_port"] = s.Entry.Port, s.Entry.HealthPort
		}
	}
	if s.Agent != nil {
		if s.Platform == nil {
			p["agent.port"], p["agent.local_port"] = s.Agent.Port, s.Agent.LocalPort
		}
	}
	return p
}

// checkPlatform requires the addresses that the configured roles need.
func (s *Settings) checkPlatform() error {
	p := s.Platform
	if p == nil {
		return nil
	}
	needed := []struct {
		key, value string
		role       bool
	}{
		{"platform.callers", p.Callers, s.Entry != nil},
		{"platform.ready", p.Ready, s.Entry != nil},
		{"platform.operators", p.Operators, s.Control != nil},
		{"platform.announce", p.Announce, s.Agent != nil},
		{"platform.worker", p.Worker, s.Agent != nil},
		{"platform.machines", p.Machines, false},
		{"platform.advisor", p.Advisor, false},
	}
	for _, n := range needed {
		if n.value == "" && !n.role { // not needed by this role
			continue
		}
		if _, err := netip.ParseAddrPort(n.value); err != nil {
			return fmt.Errorf("%s %q is not an IP number and port; write it like \"10.0.0.1:7101\"", n.key, n.value)
		}
	}
	return nil
}

const maxPort = 65535

func (s *Settings) checkPorts() error {
	ports := s.ports()
	keys := make([]string, 0, len(ports))
	for k := range ports {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	seen := make(map[int]string)
	for _, k := range keys {
		port := ports[k]
		if port < 1 || port > maxPort {
			return fmt.Errorf("%s is %d; give a port from 1 to %d", k, port, maxPort)
		}
		if other, ok := seen[port]; ok {
			return fmt.Errorf("%s and %s are both %d; give each its own port", other, k, port)
		}
		seen[port] = k
	}
	return nil
}

func (s *Settings) checkTimes() error {
	type bound struct {
		key      string
		value    time.Duration
		min, max time.Duration
	}
	bounds := []bound{{"instance.drain", s.Instance.Drain.Duration, time.Second, 10 * time.Minute},
		{"limits.write_timeout", s.Limits.WriteTimeout.Duration, 100 * time.Millisecond, 10 * time.Minute},
		{"limits.longest_call", s.Limits.LongestCall.Duration, time.Second, time.Hour}}
	if c := s.Control; c != nil {
		bounds = append(bounds,
			bound{"control.tick", c.Tick.Duration, 5 * time.Millisecond, time.Second},
			bound{"control.lease", c.Lease.Duration, time.Second, 5 * time.Minute},
			bound{"control.longest_lease", c.LongestLease.Duration, time.Second, 10 * time.Minute},
			bound{"control.schedule", c.Schedule.Duration, 10 * time.Millisecond, time.Second})
	}
	if e := s.Entry; e != nil {
		bounds = append(bounds,
			bound{"entry.sync", e.Sync.Duration, 50 * time.Millisecond, 5 * time.Second},
			bound{"entry.cut_off_after", e.CutOffAfter.Duration, time.Second, time.Hour},
			bound{"entry.leave_wait", e.LeaveWait.Duration, 10 * time.Millisecond, time.Minute})
	}
	if a := s.Agent; a != nil {
		bounds = append(bounds,
			bound{"agent.renew", a.Renew.Duration, 50 * time.Millisecond, 5 * time.Second},
			bound{"agent.announce_timeout", a.AnnounceTimeout.Duration, time.Second, time.Minute},
			bound{"agent.cordon_bound", a.CordonBound.Duration, 3 * time.Second, time.Hour})
	}
	for _, b := range bounds {
		if b.value < b.min || b.value > b.max {
			return fmt.Errorf("%s is %v; give a time from %v to %v", b.key, b.value, b.min, b.max)
		}
	}
	return nil
}

// Address returns the instance's IP number joined with a port.
func (s *Settings) Address(port int) string {
	return net.JoinHostPort(s.Instance.IP, fmt.Sprint(port))
}
