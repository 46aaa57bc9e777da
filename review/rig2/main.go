// Command rig2 plays the scripted cases of the second review. Each case starts the project's
// daemons as separate processes on loopback addresses, beside stand-ins of the workers, the
// platform's machine interface, the operator and a client, and judges one rule from what these
// have seen.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds the play of a case, and maxExploreTime that of an exploration. The start and the
// end of the processes take a few seconds more.
const (
	maxCaseTime    = 80 * time.Second
	maxExploreTime = 110 * time.Second
)

// scenario plays a case and returns how the rule was broken, "" if it held.
type scenario func(c *cluster, trouble bool) (broken string, err error)

var scenarios = map[string]struct {
	shape shape
	play  scenario
}{
	"gang-failures":   {shape{workers: 11}, playGangFailures},
	"wave-together":   {shape{workers: 11, kindB: 2}, playWaveTogether},
	"wave-standstill": {shape{workers: 11, kindB: 3}, playWaveStandstill},
	"flap":            {shape{workers: 11}, playFlap},
	"advice":          {shape{workers: 32, advised: os.Getenv("ADVISOR") != "0"}, playAdvice},
	"successor":       {shape{workers: 11, kindB: 1, explore: true, sameID: true}, playSuccessor},
	"rack-gang":       {shape{workers: 11}, playRackGang},
	"explore":         {shape{workers: 6, kindB: 2, explore: true}, playExplore},
}

func main() {
	name := flag.String("case", "", "the case to play")
	daemon := flag.String("daemon", "target/waxwinghavend", "the daemon's program")
	recordPath := flag.String("record", "", "the file for the record of what was sent, answered and run")
	flag.Parse()
	s, known := scenarios[*name]
	if !known || *recordPath == "" {
		flag.Usage()
		os.Exit(exitNotRun)
	}
	os.Exit(run(s.shape, s.play, *daemon, *recordPath))
}

func run(sh shape, play scenario, daemon, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case", "trouble=%v", trouble)
	c, err := startCluster(sh, daemon, rec)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		rec.log("case", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(c, trouble)
		done <- result{broken, err}
	}()
	var r result
	limit := maxCaseTime
	if sh.explore {
		limit = maxExploreTime
	}
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		rec.log("case", "could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return exitNotRun
	case r.broken != "":
		rec.log("case", "broken: %s", r.broken)
		fmt.Println("broken:", r.broken)
		return exitBroken
	}
	rec.log("case", "held")
	fmt.Println("held")
	return exitHeld
}
