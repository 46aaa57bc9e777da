package market

import (
	"regexp"
	"strings"

	"github.com/waxwinghaven/waxwinghaven/refusal"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Limits of the values that an operator may declare.
const (
	MaxIDLength  = 128
	maxMilliCPU  = 4096 * 1000
	maxMemoryMB  = 64 << 20
	maxTimeoutMS = 600_000
	maxHost      = 253
)

func invalid(remedy, format string, args ...any) error {
	return refusal.New(refusal.Invalid, remedy, format, args...)
}

// CheckName refuses names that can't be used in a URL path or a metric label. what is the kind of
// object, for the message.
func CheckName(what, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return invalid("use 1 to 63 small letters, digits and inner hyphens", "%s name %q is not allowed", what, name)
}

// Validate checks a change without regard to the state.
func (c *Change) Validate() error {
	if c.ID == "" || len(c.ID) > MaxIDLength {
		return invalid("send an id of 1 to 128 bytes, and the same one when sending again", "the change id is missing or too long")
	}
	switch c.Verb {
	case PutTeam:
		return c.Team.validate()
	case RetireTeam:
		return CheckName("team", c.Name)
	}
	if err := CheckName("market", c.Market); err != nil {
		return err
	}
	switch c.Verb {
	case PutMarket, RetireMarket:
		return nil
	case PutService:
		return c.Service.validate()
	case PutJob:
		return c.Job.validate()
	case PutPreset:
		return c.Preset.validate()
	case RetireService, RetireJob, RetirePreset, UsePreset:
		return CheckName("object", c.Name)
	}
	return invalid("see docs/API.md for the verbs", "verb %q is not known", c.Verb)
}

func missing(what string) error {
	return invalid("send the "+what+" object with the change", "the change carries no %s", what)
}

func checkSize(milliCPU, memoryMB int64) error {
	if milliCPU < 0 || milliCPU > maxMilliCPU {
		return invalid("give milli_cpu from 0 to 4096000; 1000 is one processor", "milli_cpu %d is out of range", milliCPU)
	}
	if memoryMB < 0 || memoryMB > maxMemoryMB {
		return invalid("give memory_mb from 0 to 67108864", "memory_mb %d is out of range", memoryMB)
	}
	return nil
}

func (s *Service) validate() error {
	if s == nil {
		return missing("service")
	}
	if err := CheckName("service", s.Name); err != nil {
		return err
	}
	if s.Host == "" && s.PathPrefix == "" {
		return invalid("give a host, a path_prefix or both", "service %q has neither host nor path_prefix", s.Name)
	}
	if s.PathPrefix != "" && !strings.HasPrefix(s.PathPrefix, "/") {
		return invalid("start it with a slash", "path_prefix %q is not a path", s.PathPrefix)
	}
	if len(s.Host) > maxHost || strings.ContainsAny(s.Host, " /\t") {
		return invalid("give a host name without a scheme", "host %q is not a host name", s.Host)
	}
	if s.TimeoutMS <= 0 || s.TimeoutMS > maxTimeoutMS {
		return invalid("give timeout_ms from 1 to 600000", "timeout_ms %d is out of range", s.TimeoutMS)
	}
	if s.Retry != "" && s.Retry != RetrySafe && s.Retry != RetryNever {
		return invalid(`use "safe" or "never"`, "retry rule %q is not known", s.Retry)
	}
	return checkSize(s.MilliCPU, s.MemoryMB)
}

func (j *Job) validate() error {
	if j == nil {
		return missing("job")
	}
	if err := CheckName("job", j.Name); err != nil {
		return err
	}
	if err := CheckName("team", j.Team); err != nil {
		return err
	}
	if j.Class != ClassBatch && j.Class != ClassContinuous {
		return invalid(`use "batch" or "continuous"`, "class %q is not known", j.Class)
	}
	if j.MilliCPU == 0 || j.Accelerators < 0 || j.MaxFailures < 0 {
		return invalid("give milli_cpu above 0 and no negative numbers", "job %q has no milli_cpu or a negative number", j.Name)
	}
	if j.RunTimeMS <= 0 || j.DeadlineMS < 0 {
		return invalid("give run_time_ms above 0 and deadline_ms 0 or above", "job %q has run_time_ms or deadline_ms out of range", j.Name)
	}
	return checkSize(j.MilliCPU, j.MemoryMB)
}

func (p *Preset) validate() error {
	if p == nil {
		return missing("preset")
	}
	if err := CheckName("preset", p.Name); err != nil {
		return err
	}
	if !(p.TailWeight >= 0 && p.TailWeight <= 1) || !(p.BatchShare >= 0 && p.BatchShare <= 1) {
		return invalid("give tail_weight and batch_share from 0 to 1", "preset %q has a weight out of range", p.Name)
	}
	if !(p.MaxSlowdown >= 1 && p.MaxSlowdown <= 100) {
		return invalid("give max_slowdown from 1 to 100", "max_slowdown %v is out of range", p.MaxSlowdown)
	}
	if p.CutOff != "" && p.CutOff != CutOffServe && p.CutOff != CutOffRefuse {
		return invalid(`use "serve" or "refuse"`, "cut_off rule %q is not known", p.CutOff)
	}
	return nil
}

func (t *Team) validate() error {
	if t == nil {
		return missing("team")
	}
	if err := CheckName("team", t.Name); err != nil {
		return err
	}
	// A quota spans many workers, so it has no upper limit.
	if t.MilliCPU < 0 || t.MemoryMB < 0 {
		return invalid("give 0 for no bound, or more", "the quota of %q is negative", t.Name)
	}
	return nil
}
