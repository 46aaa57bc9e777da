package main

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func result(build, site string, seed int, worth float64) Result {
	return Result{Play: Play{Build: build, Site: site, Day: "d", Seed: seed}, Worth: worth, Windows: worth / 2, Classes: map[string]float64{"look-up": worth}, Asked: map[string]int{"look-up": 10 + seed}}
}

// Plays must be compared in pairs of the same day and seed, by site and over all sites. A play
// without a counterpart must not count.
func TestDifferencesArePaired(t *testing.T) {
	list := []Result{
		result("base", "a", 1, 0.5), result("new", "a", 1, 0.6),
		result("base", "a", 2, 0.7), result("new", "a", 2, 0.7),
		result("base", "b", 1, 0.4), result("new", "b", 1, 0.3),
		result("new", "a", 3, 0.9),
	}
	list[1].Broken = []string{"TWICE"}
	got := Differences([]string{"base", "new"}, list)
	if len(got) != 3 || got[0].Site != "a" || got[1].Site != "b" || got[2].Site != "all" {
		t.Fatalf("%+v", got)
	}
	approx := func(what string, v, want float64) {
		if math.Abs(v-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", what, v, want)
		}
	}
	a := got[0]
	if a.Pairs != 2 || a.Broken != 1 {
		t.Errorf("on a: %+v", a)
	}
	approx("base", a.Base, 0.6)
	approx("gain", a.Gain, 0.05)
	approx("error", a.Error, 0.05) // deviation 0.0707 over the root of two
	approx("windows", a.Windows, 0.025)
	approx("class", a.Classes["look-up"], 0.05)
	approx("asked", a.Asked["look-up"], 1)
	if !math.IsNaN(got[1].Error) {
		t.Errorf("one pair has an error of %v", got[1].Error)
	}
	approx("gain over all", got[2].Gain, 0)
	var b bytes.Buffer
	writeTable(&b, got)
	writeRows(&b, got)
	if !strings.Contains(b.String(), "| new | a | 0.600 | 0.650 | +0.050 (0.050, 2) |") {
		t.Errorf("the rows are\n%s", b.String())
	}
}

// A report has the worth, parts, classes, and violated rules; a fault counts as a violation.
func TestReportIsRead(t *testing.T) {
	r, err := decode(Play{Build: "x"}, []byte(`{"G":0.53,"served":0.64,"fault":null,"breaks":{"EVAC":[1]},"parts":[["whole day",0.75,0.64],["worst windows",0.15,0.2]],"classes":[{"name":"c","worth":0.9,"n":7}]}`))
	if err != nil || r.Worth != 0.53 || r.Served != 0.64 || r.Windows != 0.2 || r.Classes["c"] != 0.9 || r.Asked["c"] != 7 || len(r.Broken) != 1 {
		t.Errorf("%+v %v", r, err)
	}
	if r, err := decode(Play{}, []byte(`{"fault":"it does not start"}`)); err != nil || len(r.Broken) != 1 {
		t.Errorf("a fault: %+v %v", r, err)
	}
	if _, err := decode(Play{}, []byte(`{"G":`)); err == nil {
		t.Error("a truncated report is accepted")
	}
}

// Plays of an earlier call must not be repeated, and the order must complete pairs early.
func TestOnlyWhatIsMissingIsPlayed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "plays.jsonl")
	if err := os.WriteFile(file, []byte(`{"build":"base","site":"s","day":"d","seed":1,"worth":0.5}`+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	done, err := load(file)
	if err != nil || len(done) != 1 {
		t.Fatalf("%+v %v", done, err)
	}
	p := &player{o: options{sites: []string{"x/s.toml"}, days: []string{"d"}, seeds: 2, first: 1}, done: done}
	builds := []build{{name: "base"}, {name: "new"}}
	got := p.todo(builds)
	want := []Play{{"new", "s", "d", 1}, {"base", "s", "d", 2}, {"new", "s", "d", 2}}
	if len(got) != len(want) {
		t.Fatalf("to play: %+v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("play %d is %+v, want %+v", i, got[i], want[i])
		}
	}
	if n := len(p.selected([]string{"base", "new"})); n != 1 {
		t.Errorf("%d plays are counted", n)
	}
	if err := os.WriteFile(file, []byte("{\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := load(file); err == nil {
		t.Error("a damaged file is accepted")
	}
}
