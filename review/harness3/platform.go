package main

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// watchInterval is the time between two looks at the memory of a process.
const watchInterval = 10 * time.Millisecond

// watch does what the platform does for a process: it kills one that uses more than its memory_mb, and restarts one that has
// ended after a short delay.
func (c *cluster) watch(p *process, command *exec.Cmd) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = command.Wait()
	}()
	isOverLimit := false
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(watchInterval):
			usedMB := residentMB(command.Process.Pid)
			p.mutex.Lock()
			p.peakMB = max(p.peakMB, usedMB)
			p.mutex.Unlock()
			if usedMB > p.memoryMB && !isOverLimit {
				isOverLimit = true
				c.record.add("platform: %s uses %d MB, more than its memory_mb of %d: killed", p.name, usedMB, p.memoryMB)
				_ = command.Process.Kill()
			}
		}
	}
	p.mutex.Lock()
	isStopping := p.stopping
	if !isStopping {
		p.ownEnds++
	}
	p.mutex.Unlock()
	if isStopping {
		return
	}
	if !isOverLimit {
		c.record.add("platform: %s has ended by itself: %v", p.name, command.ProcessState)
	}
	time.Sleep(restartDelay)
	p.mutex.Lock()
	isStopping = p.stopping
	p.mutex.Unlock()
	if isStopping {
		return
	}
	if err := c.writeSettings(p, false); err != nil { // only the first start bootstraps
		c.record.add("platform: settings of %s not written: %v", p.name, err)
		return
	}
	if err := c.start(p); err != nil {
		c.record.add("platform: %s not restarted: %v", p.name, err)
	}
}

// residentMB returns the resident memory of a process in MB, or 0 once it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// minOwnEnds is the number of ends in a day from which a machine counts for the rule Fault.
const minOwnEnds = 3

// endedOften returns the names of the processes among those given that have ended by themselves at least three times.
func endedOften(processes []*process) []string {
	var names []string
	for _, p := range processes {
		p.mutex.Lock()
		if p.ownEnds >= minOwnEnds {
			names = append(names, p.name)
		}
		p.mutex.Unlock()
	}
	return names
}
