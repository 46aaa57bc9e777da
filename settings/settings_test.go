package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Each file under testdata/bad starts with a comment that holds the exact error expected.
func TestBadSettingsNameFileKeyAndRemedy(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("testdata/bad: %d files, %v", len(files), err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(b), "\n")
		want := "settings: " + f + ": " + strings.TrimPrefix(first, "# ")
		if _, err = Load(f); err == nil || err.Error() != want {
			t.Errorf("%s:\n got %v\nwant %s", f, err, want)
		}
	}
}

// Minimal files for each role are accepted, and missing values get their defaults.
func TestGoodSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/good/*.toml")
	if err != nil || len(files) < 3 {
		t.Fatalf("testdata/good: %d files, %v", len(files), err)
	}
	for _, f := range files {
		s, err := Load(f)
		if err != nil {
			t.Errorf("%s: %v", f, err)
			continue
		}
		if s.Instance.Drain.Duration != DefaultDrain || s.Log.Level != "info" {
			t.Errorf("%s: defaults are missing: %+v", f, s)
		}
	}
	s, err := Load("testdata/good/front.toml")
	if err != nil {
		t.Fatal(err)
	}
	if s.Control.Lease.Duration != 5*time.Second || s.Entry.Sync.Duration != DefaultSync || !filepath.IsAbs(s.Control.DataFolder) {
		t.Errorf("front: %+v %+v", s.Control, s.Entry)
	}
}

// An explicit tolerance of 0 must not be mistaken for a missing value. Where all replicas
// are listed, the default tolerance follows from their number.
func TestLossTolerance(t *testing.T) {
	const head = "[instance]\nname=\"i\"\ndata_centre=\"dc\"\nip=\"10.0.0.1\"\n[control]\nport=7101\noperator_port=7102\ndata_folder=\"/d\"\n"
	cases := []struct {
		text string
		want int
	}{
		{head + "[peers]\nseeds=[\"10.0.0.1:7101\"]\n", DefaultLossTolerance},
		{head + "bear_losses=0\n[peers]\nseeds=[\"10.0.0.1:7101\"]\n", 0},
		{head + "bear_losses=2\n[peers]\nseeds=[\"10.0.0.1:7101\"]\n", 2},
		{head + "[peers]\ncontrol=[\"10.0.0.1:7101\",\"10.0.0.2:7101\",\"10.0.0.3:7101\",\"10.0.0.4:7101\",\"10.0.0.5:7101\"]\n", 2},
	}
	for _, c := range cases {
		s, err := Parse("test", c.text)
		if err != nil {
			t.Errorf("%q: %v", c.text, err)
		} else if s.LossTolerance() != c.want {
			t.Errorf("%q: %d losses, want %d", c.text, s.LossTolerance(), c.want)
		}
	}
}
