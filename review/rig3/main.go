// Command rig3 plays the cases of the third review: it starts the project's processes on loopback
// addresses, with small stand-ins for workers, clients, operators and the platform. It exits with 1
// if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// cases plays a case and returns the breaks of its rule.
var cases = map[string]func(*rig) (breaks []string, err error){
	"ends-beyond-a-list": endsBeyondAList,
	"blamed-workers":     blamedWorkers,
	"pending":            pendingAfterACrash,
	"cancels-in-a-wave":  cancelsInAWave,
	"late-list":          lateListOnANewLife,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case:", *name)
		return 2
	}
	record, err := os.Create(*path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	r, err := newRig(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer r.close()
	time.AfterFunc(maxTime, func() {
		fmt.Println("the case took too long")
		r.close()
		os.Exit(2)
	})
	breaks, err := play(r)
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, b := range breaks {
		r.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	r.note("breaks: %d, with the disruption: %v", len(breaks), r.trouble)
	if len(breaks) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
