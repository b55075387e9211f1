// Command standin runs one review case: it starts the project's controllers and entries as processes of their own, plays
// the workers, the platform, the advice service, a client and the operator, and checks one rule by what those have seen.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// caseTimeout ends a case that hangs, before the limit of 120 s.
	caseTimeout = 110 * time.Second
)

// caseFunc runs a case in a started deployment. broken says how the rule was broken, and is empty if it held. err is set if
// the case couldn't run.
type caseFunc func(d *deployment, trouble bool) (broken string, err error)

// reviewCase is a case with the deployment that it needs.
type reviewCase struct {
	run     caseFunc
	workers int
	routes  []route
}

var reviewCases = map[string]reviewCase{
	"advice": {run: runAdviceCase, workers: 8, routes: []route{{Name: "audit", MaxAttempts: 3, Hint: &hint{DecisionMs: 50, IntervalMs: 2, ValidMs: 4000}}}},
	"crash":  {run: runCrashCase, workers: 12, routes: []route{{Name: "ledger", MaxAttempts: 3}}},
	"gang":   {run: runGangCase, workers: 12, routes: []route{{Name: "audit", MaxAttempts: 2}}},
	"upkeep": {run: runUpkeepCase, workers: 8, routes: []route{{Name: "audit", MaxAttempts: 3}}},
}

func main() {
	program := flag.String("program", "target/galenamoor", "the project's program")
	recordPath := flag.String("record", "record.txt", "file for the record of what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	flag.Parse()
	chosen, ok := reviewCases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "expected the name of a case")
		os.Exit(exitFailed)
	}
	os.Exit(play(chosen, *program, *recordPath, *trouble))
}

// play runs a case and returns the exit code. All processes are ended before it returns.
func play(chosen reviewCase, program, recordPath string, trouble bool) int {
	d, err := newDeployment(program, recordPath, chosen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		if err := d.start(); err != nil {
			results <- result{err: err}
			return
		}
		broken, err := chosen.run(d, trouble)
		results <- result{broken, err}
	}()
	r := result{}
	select {
	case r = <-results:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(caseTimeout):
		r.err = fmt.Errorf("not finished after %v", caseTimeout)
	}
	switch {
	case r.err != nil:
		d.record.log("RESULT not run: %v", r.err)
		return exitFailed
	case r.broken != "":
		d.record.log("RESULT broken: %s", r.broken)
		return exitBroken
	}
	d.record.log("RESULT held")
	return exitHeld
}
