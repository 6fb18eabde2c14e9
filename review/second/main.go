// Command second runs the scripted cases of the second review. Each case starts instances as
// processes, with stand-ins for the platform's store, the upstreams and the clients in this
// process, and checks one rule of the users' pages on what clients and upstreams saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*run) (verdict, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/dogwoodroute-edge", "path of the program under test")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	logs := flag.String("logs", "", "directory for the logs of the instances; empty: a temporary one")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitCouldNot)
	}
	os.Exit(playCase(play, *program, *recordPath, *logs, *trouble))
}

func playCase(play func(*run) (verdict, error), program, recordPath, logs string, trouble bool) int {
	r, err := newRun(program, recordPath, logs, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	}
	defer r.close()
	// The issue bounds a script at 120 s.
	watchdog := time.AfterFunc(115*time.Second, func() {
		r.rec.line("the case did not end in time")
		r.close()
		os.Exit(exitCouldNot)
	})
	defer watchdog.Stop()
	v, err := play(r)
	if err != nil {
		r.rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	}
	text := "rule held: " + v.text
	code := exitHeld
	if v.broken {
		text, code = "rule broken: "+v.text, exitBroken
	}
	r.rec.line("%s", text)
	fmt.Println(text)
	return code
}
