// Command stage plays one review case: it starts the project's daemons as separate processes on
// loopback addresses, with stand-ins for the workers, a client and the operator, brings one
// sequence of disruptions about and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves the disruptions out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// cases maps the names of the cases to their sequences. Each returns what broke the rule, "" if
// it held.
var cases = map[string]func(*stage) (string, error){
	"twice":   twice,
	"refused": refused,
	"pending": pending,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage twice|refused|pending FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and writes its record into the folder.
func play(sequence func(*stage) (string, error), folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	s, err := newStage(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		runtime.LockOSThread() // the processes end with the thread that started them
		broken, err := sequence(s)
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case x := <-ended:
		r.err = fmt.Errorf("ended by a signal: %v", x)
	case <-time.After(maxDuration):
		r.err = fmt.Errorf("the case took longer than %v", maxDuration)
	}
	switch {
	case r.err != nil:
		rec.printf("not run: %v", r.err)
		return exitNotRun
	case r.broken != "":
		rec.printf("BROKEN: %s", r.broken)
		return exitBroken
	}
	rec.printf("held")
	return exitHeld
}
