package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (d *deployment) frontURL(n int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", d.entryIP(n%entryCount), frontPort, path)
}

// submit hands a job in until it is accepted.
func (d *deployment) submit(queue, id string, steps ...step) error {
	d.mutex.Lock()
	d.steps[id] = steps
	d.mutex.Unlock()
	body := map[string]any{"spec": "job " + id, "steps": steps}
	for attempt := range 5 {
		status, _ := d.call(http.MethodPost, d.frontURL(attempt, "/"+queue+"/"+id), body)
		d.record.log("client: POST job %s -> %d", id, status)
		if status == http.StatusOK {
			return nil
		}
		if !d.sleep(time.Second) {
			break
		}
	}
	return fmt.Errorf("job %s wasn't accepted", id)
}

// state asks for the state of a job; it is empty without a 200.
func (d *deployment) state(queue, id string) string {
	for attempt := range 3 {
		status, text := d.call(http.MethodGet, d.frontURL(attempt, "/"+queue+"/"+id), nil)
		d.record.log("client: GET job %s -> %d %s", id, status, text)
		reply := struct{ State string }{}
		if status == http.StatusOK && json.Unmarshal(text, &reply) == nil {
			return reply.State
		}
	}
	return ""
}

// awaitState asks for a job's state each half second until it is one of the wanted ones or the time is over, and returns the
// last answer.
func (d *deployment) awaitState(queue, id string, limit time.Duration, wanted ...string) string {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); {
		last = d.state(queue, id)
		for _, w := range wanted {
			if last == w {
				return last
			}
		}
		if !d.sleep(500 * time.Millisecond) {
			break
		}
	}
	return last
}
