// Package golden compares the output of a test with a reviewed file.
package golden

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails the test if got differs from the file at path. With the flag
// -update it rewrites the file first.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the text differs from %s; read the difference, and run with -update if it is meant", path)
	}
}
