// Package golden compares what a test produced with a file that a person has read.
package golden

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails the test if the text differs from the file at path. With the flag
// -update it writes the file anew first.
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
