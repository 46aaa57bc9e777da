package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Every file under testdata/bad starts with a comment that holds its exact error.
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

// The smallest files for each role are good, and what they leave out is filled in.
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
