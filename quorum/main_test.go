package quorum

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

var syncMode = flag.String("sync-mode", "all", `how replicas save in tests: "loop", "concurrent" (each write ends at once), "delayed" (it ends any number of events later), or "all"`)

// The mode of the current run, set by TestMain. In the delayed mode concurrentSync is also set.
var concurrentSync, delayedSyncs bool

// omitTranscripts leaves out the golden transcripts. They state the order of all messages, which
// delayed writes change; they are compared in the two other modes.
func omitTranscripts() {
	skip, transcripts := flag.Lookup("test.skip"), "^TestTranscript"
	if given := skip.Value.String(); given != "" {
		transcripts = given + "|" + transcripts
	}
	skip.Value.Set(transcripts)
}

// TestMain runs every test of the package in each mode of saving. An invariant that holds only while
// the loop waits for its disk would otherwise be lost with the switch on.
func TestMain(m *testing.M) {
	flag.Parse()
	modes := []string{*syncMode}
	if *syncMode == "all" {
		modes = []string{"loop", "concurrent", "delayed"}
	}
	if f := flag.Lookup("test.fuzz"); f != nil && f.Value.String() != "" {
		modes = modes[:1] // the decoders are the same in all modes
	}
	for _, mode := range modes {
		concurrentSync, delayedSyncs = mode != "loop", mode == "delayed"
		if delayedSyncs {
			omitTranscripts()
		}
		fmt.Println("saving:", mode)
		if code := m.Run(); code != 0 {
			os.Exit(code)
		}
	}
}
