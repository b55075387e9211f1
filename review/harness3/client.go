package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	host       = "huts.example"
	prefix     = "/signing/"
	deadline   = 3 * time.Second // of the clients
	maxRetries = 4
)

// client speaks to the system as the users' pages say, with a new connection for each request.
type client struct {
	cluster *cluster
	http    *http.Client
}

func newClient(c *cluster) *client {
	return &client{cluster: c, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// send sends one request and returns the status and the body of the answer, or status 0 if there was none in time.
func (c *client) send(method, address, path string, body []byte) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// entry returns the caller address of an entry.
func (c *client) entry(n int) string {
	entries := c.cluster.entries
	return fmt.Sprintf("%s:%d", entries[n%len(entries)].ip, callerPort)
}

// ask sends a request about a job to one entry after the other until one answers it for good.
func (c *client) ask(method, id string, body []byte, first int) (status int, answer string) {
	for attempt := range 1 + maxRetries {
		status, answer = c.send(method, c.entry(first+attempt), prefix+id, body)
		c.cluster.record.add("caller: %s %s%s at entry %d -> %s", method, prefix, id, (first+attempt)%len(c.cluster.entries)+1, describe(status, answer))
		if status != 0 && status != http.StatusTooManyRequests && status < http.StatusInternalServerError {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond << attempt)
	}
	return status, answer
}

func describe(status int, answer string) string {
	if status == 0 {
		return "no answer: " + answer
	}
	return fmt.Sprintf("%d %s", status, answer)
}

// configure has the operator send the first configuration until it is accepted.
func (c *client) configure() error {
	configuration := map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-signing", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 250,
			"priority": 0, "service": "waiverdesk", "max_attempts": 3, "stretch": 1.5,
		}},
		"services": []map[string]any{{
			"name": "waiverdesk", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"admission_check": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	for attempt := range 60 {
		controllers := c.cluster.controllers
		status, answer := c.send(http.MethodPut, fmt.Sprintf("%s:%d", controllers[attempt%len(controllers)].ip, controlPort), "/config", body)
		c.cluster.record.add("operator: PUT /config -> %s", describe(status, answer))
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the first configuration was not accepted")
}

// maxBodyBytes is max_body_bytes of the configuration.
const maxBodyBytes = 262_144

// ordinary submits a small job every 300 ms until stop is closed, and returns the IDs of those that were accepted.
func (c *client) ordinary(stop <-chan struct{}) []string {
	body := []byte(`{"spec":"800","steps":[{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":800}]}`)
	var accepted []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return accepted
		case <-time.After(300 * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", 0xa000000+n)
		if status, _ := c.ask(http.MethodPost, id, body, n); status >= 200 && status < 300 {
			accepted = append(accepted, id)
		}
	}
}

// unanswered asks for the state of jobs and returns those that aren't known or get no answer.
func (c *client) unanswered(ids []string) []string {
	var mutex sync.Mutex
	var lost []string
	var group sync.WaitGroup
	for n, id := range ids {
		group.Add(1)
		go func() {
			defer group.Done()
			if status, _ := c.ask(http.MethodGet, id, nil, n); status != http.StatusOK {
				mutex.Lock()
				defer mutex.Unlock()
				lost = append(lost, id)
			}
		}()
	}
	group.Wait()
	return lost
}
