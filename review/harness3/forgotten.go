package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fleetingJobs is the number of jobs that the hostile clients submit and cancel, and fleetingClients that of these clients.
	fleetingJobs    = 21_000
	fleetingClients = 90
	// fleetingTime bounds the trouble, so that all of it lies within status_s (120) of the ordinary job's end.
	fleetingTime = 80 * time.Second
)

// forgotten has an ordinary job completed, then has hostile clients submit and cancel many jobs, and then asks for the ordinary one.
// It also repeats the request that submitted it.
func forgotten(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	if err := callers.configure(); err != nil {
		return nil, err
	}
	for n := range 3 {
		e := newExecutor(c, n+1, "a")
		if err := e.up(); err != nil {
			return nil, err
		}
		defer e.down()
	}
	time.Sleep(calm)
	const id = "00000000d0000001"
	body := []byte(`{"spec":"500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":500}]}`)
	if status, answer := callers.ask(http.MethodPost, id, body, 0); status != http.StatusOK {
		return nil, fmt.Errorf("the job wasn't accepted: %d %s", status, answer)
	}
	if !callers.awaitCompleted(id, finish) {
		return nil, fmt.Errorf("the job wasn't completed in calm")
	}
	time.Sleep(time.Second) // for the end to be taken note of
	if trouble {
		c.record.add("hostile clients begin")
		c.record.add("hostile clients end; %d jobs were submitted and cancelled", flee(callers))
	}
	time.Sleep(2 * time.Second)
	var broken []string
	if status, _ := callers.ask(http.MethodGet, id, nil, 0); status == http.StatusGone {
		broken = append(broken, "LOST: a GET for an accepted, completed job that nobody has cancelled is answered 410 within status_s")
	}
	starts := c.starts(id)
	_, _ = callers.ask(http.MethodPost, id, body, 1)
	time.Sleep(3 * time.Second)
	if again := c.starts(id) - starts; again > 0 {
		broken = append(broken, "TWICE: a task starts again after a run of it has ended done, which was taken note of")
	}
	return broken, nil
}

// awaitCompleted asks for the state of a job until it is completed.
func (c *client) awaitCompleted(id string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if _, state := c.ask(http.MethodGet, id, nil, 0); strings.Contains(state, "completed") {
			return true
		}
	}
	return false
}

// flee has clients submit small jobs and cancel each at once, and returns the number of those that were cancelled.
func flee(callers *client) int {
	transport := &http.Transport{MaxIdleConnsPerHost: fleetingClients}
	defer transport.CloseIdleConnections()
	patient := &client{cluster: callers.cluster, http: &http.Client{Transport: transport}}
	body := []byte(`{"spec":"500","steps":[{"count":1,"cpu":1000,"mem_mb":256}]}`)
	var next, cancelled atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	for n := range fleetingClients {
		group.Add(1)
		go func() {
			defer group.Done()
			for number := next.Add(1); number <= fleetingJobs && time.Since(began) < fleetingTime; number = next.Add(1) {
				path := prefix + fmt.Sprintf("%016x", 0xe0000000+number)
				if status, _ := patient.send(http.MethodPost, patient.entry(n), path, body); status != http.StatusOK {
					continue
				}
				if status, _ := patient.send(http.MethodDelete, patient.entry(n), path, nil); status == http.StatusOK {
					cancelled.Add(1)
				}
			}
		}()
	}
	group.Wait()
	return int(cancelled.Load())
}
