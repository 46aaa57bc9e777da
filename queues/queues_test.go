package queues

import (
	"strings"
	"testing"
)

func validConfig() Config {
	return Config{Version: 3, Services: []Service{{Name: "vault"}, {Name: "other"}}, Queues: []Queue{
		{Name: "all", Host: "a.example", Prefix: "/", Service: "vault", TimeoutMS: 3000},
		{Name: "renders", Host: "a.example", Prefix: "/renders/", Service: "other", TimeoutMS: 3000},
	}}
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		want   string // part of the error, "" for none
	}{
		{"valid configuration", func(*Config) {}, ""},
		{"no version", func(c *Config) { c.Version = 0 }, "version"},
		{"unknown service", func(c *Config) { c.Queues[1].Service = "nowhere" }, "unknown service"},
		{"time-out of 0", func(c *Config) { c.Queues[0].TimeoutMS = 0 }, "time-out"},
		{"same host and prefix", func(c *Config) { c.Queues[1].Prefix = "/" }, "share"},
		{"same prefix on another host", func(c *Config) { c.Queues[1].Prefix, c.Queues[1].Host = "/", "b.example" }, ""},
		{"no slash", func(c *Config) { c.Queues[0].Prefix = "x" }, "prefix"},
		{"advice", func(c *Config) { c.Queues[0].Advice = &Advice{DecisionMS: 50, PerWorkerMS: 1, ValidMS: 2000} }, ""},
		{"ticket validity of 0", func(c *Config) { c.Queues[0].Advice = &Advice{DecisionMS: 50} }, "advice"},
		{"negative decision time", func(c *Config) { c.Queues[0].Advice = &Advice{DecisionMS: -1, ValidMS: 1} }, "advice"},
		{"service twice", func(c *Config) { c.Services[1].Name = "vault" }, "listed twice"},
	}
	for _, c := range cases {
		cfg := validConfig()
		c.change(&cfg)
		err := cfg.Validate()
		if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := validConfig()
	if q, rest := c.Match("a.example", "/renders/0123"); q == nil || q.Name != "renders" || rest != "0123" {
		t.Errorf("got %v %q", q, rest)
	}
	if q, rest := c.Match("a.example", "/titles/0123"); q == nil || q.Name != "all" || rest != "titles/0123" {
		t.Errorf("got %v %q", q, rest)
	}
	if q, _ := c.Match("b.example", "/renders/0123"); q != nil {
		t.Errorf("another host matched %s", q.Name)
	}
}

// Two operators send changes at the same time, and copies of older ones arrive late. The highest
// version must stay in force: any other one would undo an acknowledged change.
func TestOnlyAHigherVersionChangesAnything(t *testing.T) {
	var s State
	put := func(version uint64, source string) bool {
		c := validConfig()
		c.Version, c.Source = version, []byte(source)
		return s.Apply(c)
	}
	steps := []struct {
		version uint64
		source  string
		changed bool
		inForce string
	}{
		{5, "five", true, "five"},
		{4, "four", false, "five"},
		{5, "another five", false, "five"},
		{9, "nine", true, "nine"},
		{5, "five", false, "nine"},
	}
	for _, st := range steps {
		if got := put(st.version, st.source); got != st.changed || string(s.Config.Source) != st.inForce {
			t.Errorf("version %d (%s): changed %v, in force %s", st.version, st.source, got, s.Config.Source)
		}
	}
}
