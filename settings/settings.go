// Package settings reads a process's TOML file. Decoding is strict: an unknown
// key, a wrong unit or a missing table is an error that names the file, the key
// and the remedy.
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

// Duration is a time with its unit, such as "500ms" or "10s".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration that carries its unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number with a unit, such as \"500ms\" or \"10s\"", b)
	}
	d.Duration = v
	return nil
}

// Settings is one process's file.
type Settings struct {
	Instance Instance  `toml:"instance"`
	Log      Log       `toml:"log"`
	TLS      *TLS      `toml:"tls"`
	Peers    Peers     `toml:"peers"`
	Control  *Control  `toml:"control"`
	Entry    *Entry    `toml:"entry"`
	Agent    *Agent    `toml:"agent"`
	Platform *Platform `toml:"platform"`

	text     string // that was read
	contacts atomic.Pointer[[]string]
}

// Instance tells who and where the process is.
type Instance struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	// IP is the address that the process binds and dials from.
	IP string `toml:"ip"`
	// MemoryMB is what the process may use, 0 for no bound. The collector
	// works harder as it comes near.
	MemoryMB int `toml:"memory_mb"`
	// MetricsPort serves /metrics where the role has no other port for it, 0
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

// TLS names the PEM files of the process's key. Without the table the links
// between processes are plain, which suits a single machine only.
type TLS struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Peers tells where the control replicas are.
type Peers struct {
	Control []string `toml:"control"`
	// Seeds are first contacts instead of the whole list: some of the
	// control replicas as they stood once. They may be cut off or gone; the
	// replicas that answer tell of the others.
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
	// LongestLease is the longest lease that workers take, whoever asks for it; by default
	// twice what the control lends. Where a worker starts again under its id, a late call for
	// the start before may lend it that much.
	LongestLease    Duration `toml:"longest_lease"`
	SnapshotEntries uint64   `toml:"snapshot_entries"`
	Schedule        Duration `toml:"schedule"`
	// BearLosses is how many control replicas may be lost at once while nothing
	// stops and nothing is lost. It is nil if it isn't given; see Losses.
	BearLosses *int `toml:"bear_losses"`
	// OwnAgents is how many agents the leader hands orders out to by itself, nil for the
	// default. The others are sent to followers.
	OwnAgents *int `toml:"own_agents"`
	// DataCentres names the data centres that operators may take out of service, beside
	// those in which anything of the system stands.
	DataCentres []string `toml:"data_centres"`
	// FormFromSeeds makes the seeds the first replica set. It is for the very
	// first start of the whole system only.
	FormFromSeeds bool `toml:"form_from_seeds"`
}

// Losses returns how many control replicas may be lost at once: as given, or what
// the listed ones bear.
func (s *Settings) Losses() int {
	switch {
	case s.Control != nil && s.Control.BearLosses != nil:
		return *s.Control.BearLosses
	case len(s.Peers.Control) > 0:
		return (len(s.Peers.Control) - 1) / 2
	}
	return DefaultBearLosses
}

// Platform makes the process speak the users' platform's protocol in place of
// the system's own towards callers, operators and workers. Addresses are an IP
// number and a port; those that are not the role's business stay empty.
type Platform struct {
	// Callers and Ready belong to an entry: where callers and the balancer
	// reach it.
	Callers string `toml:"callers"`
	Ready   string `toml:"ready"`
	// Operators belongs to a control replica.
	Operators string `toml:"operators"`
	// Announce and Worker belong to an agent: where its worker announces
	// itself, and where it takes calls.
	Announce string `toml:"announce"`
	Worker   string `toml:"worker"`
	// Machines and Advisor belong to a control replica: the platform's interface
	// for machines, and the one that tells which workers may run a step. Either may
	// be empty.
	Machines string `toml:"machines"`
	Advisor  string `toml:"advisor"`
	// MachineLease is how long a new leader waits before it gives orders about
	// machines, and UpkeepTime how long a machine is down for its upkeep.
	MachineLease Duration `toml:"machine_lease"`
	UpkeepTime   Duration `toml:"upkeep_time"`
}

// Entry makes the process an entry instance.
type Entry struct {
	Port int `toml:"port"`
	// HealthPort serves /healthz, /readyz and /metrics to the balancer.
	HealthPort int `toml:"health_port"`
	// MaxBody is the largest request and answer, in bytes.
	MaxBody int `toml:"max_body_bytes"`
	// Sync is the interval at which news is asked for.
	Sync Duration `toml:"sync"`
	// CutOffAfter is how long without a control replica's answer the entry
	// takes its configuration for the one in force.
	CutOffAfter Duration `toml:"cut_off_after"`
	// LeaveWait is how long the entry keeps serving after it told the
	// balancer that it is not ready any more.
	LeaveWait Duration `toml:"leave_wait"`
}

// Agent makes the process the agent beside an upstream and a worker.
type Agent struct {
	Port int `toml:"port"`
	// LocalPort is where the upstream announces itself.
	LocalPort int `toml:"local_port"`
	// Renew is the interval of lease renewals.
	Renew   Duration `toml:"renew"`
	MaxBody int      `toml:"max_body_bytes"`
	// AnnounceTimeout is how long after its last heartbeat an upstream is
	// taken for gone.
	AnnounceTimeout Duration `toml:"announce_timeout"`
	// CordonBound is how long after an order that takes the data centre out of service
	// was acknowledged something may still be started here.
	CordonBound Duration `toml:"cordon_bound"`
}

// cordonMargin is kept of CordonBound for the way of a start to the worker, whose call is
// given up after half a second, and for a processor that is busy.
const cordonMargin = 1500 * time.Millisecond

// StartWord is how old the control's word that the data centre is in service may be for
// something to be started by it. An agent that hears nothing starts nothing: the order may
// have been acknowledged meanwhile.
func (a *Agent) StartWord() time.Duration { return a.CordonBound.Duration - cordonMargin }

// Defaults.
const (
	DefaultDrain = 15 * time.Second
	DefaultTick  = 50 * time.Millisecond
	DefaultLease = 8 * time.Second
	// DefaultLongestLeases is the longest lease that workers take, in leases of the control.
	DefaultLongestLeases   = 2
	DefaultSnapshotEntries = 20_000
	// DefaultBearLosses is for replicas that are told first contacts only: what the
	// smallest set that outlives a loss bears, one of three.
	DefaultBearLosses = 1
	DefaultSchedule   = 100 * time.Millisecond
	// DefaultOwnAgents costs a leader some hundredths of a core. An order through a follower
	// is there a contact round later.
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

// Load reads and checks a file. Relative paths in it count from its folder.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.New("%s: cannot be read (%v); check the path", path, err)
	}
	return Parse(path, string(b))
}

// Parse checks the text of a settings file; path is for its messages.
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
	checks := []func() error{s.checkInstance, s.checkLog, s.checkTLS, s.checkRoles, s.checkPeers, s.checkPlatform, s.checkPorts, s.checkTimes}
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

// maxBearLosses needs nine replicas, each of which every change is sent to.
const maxBearLosses = 4

func (s *Settings) checkLosses() error {
	if s.Control == nil || s.Control.BearLosses == nil {
		return nil
	}
	bear, listed := *s.Control.BearLosses, len(s.Peers.Control)
	if bear < 0 || bear > maxBearLosses {
		return fmt.Errorf("control.bear_losses is %d; give the number of control replicas that may be lost at once, 0 to %d", bear, maxBearLosses)
	}
	if listed > 0 && listed < 2*bear+1 {
		return fmt.Errorf("control.bear_losses is %d, which takes %d control replicas; peers.control lists %d", bear, 2*bear+1, listed)
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

// Text returns what was read, so that a change of the file can be told.
func (s *Settings) Text() string { return s.text }

// Contacts returns the addresses at which control replicas are first looked for,
// by the newest settings that were taken over.
func (s *Settings) Contacts() []string {
	if p := s.contacts.Load(); p != nil {
		return *p
	}
	return s.readContacts()
}

// TakeOver puts those settings of a newer file in force that need no restart:
// the first contacts.
func (s *Settings) TakeOver(newer *Settings) {
	list := newer.readContacts()
	s.contacts.Store(&list)
}

func (s *Settings) readContacts() []string {
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

// checkPlatform asks for the addresses that a role cannot do without.
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
		if n.value == "" && !n.role { // not this role's business
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
	bounds := []bound{{"instance.drain", s.Instance.Drain.Duration, time.Second, 10 * time.Minute}}
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

// Address joins the instance's IP number with a port.
func (s *Settings) Address(port int) string {
	return net.JoinHostPort(s.Instance.IP, fmt.Sprint(port))
}
