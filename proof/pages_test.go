package proof

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	testNamed    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)
	testDeclared = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w+)\(`)
)

// declaredTests returns the names of all tests in the tree.
func declaredTests(t *testing.T) map[string]bool {
	names := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range testDeclared.FindAllSubmatch(b, -1) {
			names[string(m[1])] = true
		}
		return err
	})
	if err != nil || len(names) < 100 {
		t.Fatalf("%d tests found: %v", len(names), err)
	}
	return names
}

// Guards against pages that name tests which have been renamed or deleted: readers look up the
// test of a guarantee by the name that a page gives.
func TestPagesNameTestsThatExist(t *testing.T) {
	declared := declaredTests(t)
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	incidents, err := filepath.Glob("../docs/incidents/*.md")
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	for _, page := range append(pages, incidents...) {
		b, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range testNamed.FindAllString(string(b), -1) {
			named++
			if !declared[name] {
				t.Errorf("%s names %s, which does not exist", filepath.Base(page), name)
			}
		}
	}
	if named < 50 {
		t.Errorf("only %d test names were found", named)
	}
}
