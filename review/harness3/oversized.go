package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxSpecBytes is the longest spec of the users' pages. Executors answer a start with a longer one with 400.
const maxSpecBytes = 4000

const (
	oversizedInterval = 100 * time.Millisecond // between two of these jobs
	oversizedTasks    = 20                     // of each
)

// oversized has a client submit jobs whose spec is longer than the pages allow, beside ordinary clients.
func oversized(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	for n := range executors {
		e := newExecutor(c, n+1, "a")
		if err := e.up(); err != nil {
			return nil, err
		}
		defer e.down()
	}
	ids, err := besideOrdinary(c, callers, func(stop <-chan struct{}) {
		if trouble {
			submitOversized(c, callers, stop)
		}
	})
	if err != nil {
		return nil, err
	}
	unfinished := callers.unfinished(ids)
	if len(unfinished) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d accepted ordinary jobs have nothing running finish_s after the end of the traffic, though the executors are idle: %s",
		len(unfinished), len(ids), strings.Join(unfinished, " "))}, nil
}

// submitOversized submits such jobs until stop is closed.
func submitOversized(c *cluster, callers *client, stop <-chan struct{}) {
	spec := "500" + strings.Repeat(" ", maxSpecBytes)
	body := fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":256,"estimate_ms":500}]}`, spec, oversizedTasks)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(oversizedInterval):
		}
		id := fmt.Sprintf("%016x", 0xf000000+n)
		status, answer := callers.send(http.MethodPost, callers.entry(n), prefix+id, body)
		c.record.add("hostile client: POST %s%s, a spec of %d bytes -> %s", prefix, id, len(spec), describe(status, answer))
	}
}

// unfinished asks for the state of jobs and returns those that aren't completed.
func (c *client) unfinished(ids []string) []string {
	var mutex sync.Mutex
	var found []string
	var group sync.WaitGroup
	for n, id := range ids {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, state := c.ask(http.MethodGet, id, nil, n); !strings.Contains(state, "completed") {
				mutex.Lock()
				defer mutex.Unlock()
				found = append(found, id)
			}
		}()
	}
	group.Wait()
	return found
}
