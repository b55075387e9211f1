package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	host   = "jobs.example"
	prefix = "/q/"
)

// configuration returns a configuration with one queue.
func configuration(version, maxAttempts int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "q", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 500, "priority": 0,
			"service": "pool", "max_attempts": maxAttempts, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": "pool", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// operator sends orders as the pages say: to one controller after the other, a second each, until one answers.
type operator struct {
	record *record
	paths  [controllers]*proxy       // to the controllers; nil for a direct one
	links  [controllers]*http.Client // keep their connections open
}

func newOperator(r *record) *operator {
	o := &operator{record: r}
	for n := range o.links {
		o.links[n] = &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	}
	return o
}

// url returns the address of a path at a controller, as the operator reaches it.
func (o *operator) url(n int, path string) string {
	if o.paths[n] != nil {
		return "http://" + o.paths[n].address() + path
	}
	return controlURL(n, path)
}

// send sends one request and waits a second for the answer.
func (o *operator) send(n int, method, path string, body any) answer {
	return callOn(o.links[n], method, o.url(n, path), "", body, time.Second)
}

func controlURL(n int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", controllerIP(n), controlPort, path)
}

// order sends an order, first to the given controller, and returns whether it was acknowledged.
func (o *operator) order(first int, method, path string, body any, patience time.Duration) bool {
	deadline := time.Now().Add(patience)
	for n := first; time.Now().Before(deadline); n = (n + 1) % controllers {
		o.record.add("operator", method, path, fmt.Sprintf("to controller-%d", n))
		a := o.send(n, method, path, body)
		o.record.add("operator", "answer", path, fmt.Sprintf("%s: status %d from controller-%d", method, a.status, n))
		if a.status/100 == 2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// clients hand in jobs and ask for them.
type clients struct {
	record *record
	judge  *judge
	group  sync.WaitGroup
	mutex  sync.Mutex
	next   int
}

// newID returns a new id of 16 hexadecimal digits.
func (c *clients) newID() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	return fmt.Sprintf("%08x%08x", network, c.next)
}

func frontURL(n int, id string) string { return frontPath(n, prefix+id) }

func frontPath(n int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", entryIP(n%entries), callerPort, path)
}

// submit hands in a job with up to 5 attempts, and returns whether it was accepted.
func (c *clients) submit(job *jobState, body map[string]any) bool {
	job.spec = "spec of " + job.id
	body["spec"] = job.spec
	c.judge.addJob(job)
	for attempt := range 5 {
		a := call(http.MethodPost, frontPath(attempt, job.path()), host, body, 3*time.Second)
		c.record.add("client", "POST", job.id, fmt.Sprintf("status %d", a.status))
		if a.status/100 == 2 {
			c.judge.mutex.Lock()
			job.accepted = time.Now()
			c.judge.mutex.Unlock()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job. It is empty if there was no such answer, and "gone" for a 410.
func (c *clients) state(id string) string {
	for attempt := range 3 {
		a := call(http.MethodGet, frontURL(attempt, id), host, nil, 3*time.Second)
		reply := struct{ State string }{}
		switch {
		case a.status == http.StatusGone:
			return "gone"
		case a.status == http.StatusOK && json.Unmarshal(a.body, &reply) == nil:
			return reply.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// simpleJob returns a job of one step, and its body.
func (c *clients) simpleJob(count int, cpu int64, work time.Duration) (*jobState, map[string]any) {
	job := &jobState{id: c.newID(), steps: []taskSpec{{count: count, cpu: cpu, work: work}}}
	return job, map[string]any{"steps": []any{map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "estimate_ms": work.Milliseconds()}}}
}

// load hands in small jobs at intervals until stop is closed.
func (c *clients) load(interval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		c.group.Go(func() {
			job, body := c.simpleJob(4, 2000, 800*time.Millisecond)
			c.submit(job, body)
		})
	}
}
