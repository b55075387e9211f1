// Command harness3 runs the scripts of the third review: it starts the project's programs as processes on loopback
// addresses, stands in for clients and the platform, and exits with 1 if a rule was broken, 0 if it held and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario is one script. It returns what was broken, or nothing.
type scenario func(c *cluster, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"backlog":      backlog,
	"dependencies": dependencies,
	"flapping":     flapping,
	"forgotten":    forgotten,
	"oversized":    oversized,
	"steps":        wrongSteps,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness3 SCENARIO RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return notRun
	}
	record, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	c, err := newCluster(record, 3, 3)
	if err != nil {
		record.add("the case couldn't run: %v", err)
		return notRun
	}
	defer c.close()
	broken, err := play(c, trouble)
	for _, p := range c.processes() {
		p.mutex.Lock()
		record.add("%s: peak %d MB of %d, ended by itself %d times", p.name, p.peakMB, p.memoryMB, p.ownEnds)
		p.mutex.Unlock()
	}
	if err != nil {
		record.add("the case couldn't run: %v", err)
		return notRun
	}
	for _, b := range broken {
		record.add("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Println(strings.Join(broken, "\n"))
		return ruleBroken
	}
	record.add("all rules held")
	fmt.Println("all rules held")
	return ruleHeld
}

// The phases of a script.
const (
	calm     = 4 * time.Second  // of ordinary traffic before the trouble
	flood    = 12 * time.Second // of trouble beside ordinary traffic
	finish   = 14 * time.Second // finish_s of the pages, after the end of all traffic
	attended = time.Second      // for the ordinary clients to end
)

// besideOrdinary plays trouble beside ordinary clients, and returns the jobs that these were told were accepted, finish_s after the end of all
// traffic.
func besideOrdinary(c *cluster, callers *client, trouble func(stop <-chan struct{})) (accepted []string, err error) {
	if err := callers.configure(); err != nil {
		return nil, err
	}
	stop, ended := make(chan struct{}), make(chan []string, 1)
	go func() { ended <- callers.ordinary(stop) }()
	time.Sleep(calm)
	stopTrouble := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		trouble(stopTrouble)
	}()
	time.Sleep(flood)
	close(stopTrouble)
	close(stop)
	group.Wait()
	accepted = <-ended
	time.Sleep(attended)
	c.record.add("end of the traffic; %d ordinary jobs were accepted", len(accepted))
	if len(accepted) == 0 {
		return nil, fmt.Errorf("no ordinary job was accepted")
	}
	time.Sleep(finish)
	return accepted, nil
}
