package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The executors that go down and up by turns: a tenth of ten, within the period and the duration of the site files.
const (
	executors    = 10
	flapPeriod   = 1000 * time.Millisecond
	flapDuration = 6500 * time.Millisecond
)

// flapping has the only executor with a label go down and up by turns while a job that requires the label runs there.
func flapping(c *cluster, trouble bool) ([]string, error) {
	callers := newClient(c)
	if err := callers.configure(); err != nil {
		return nil, err
	}
	var special *executor
	for n := range executors {
		kind := "a"
		if n == executors-1 {
			kind = "b"
		}
		e := newExecutor(c, n+1, kind)
		if err := e.up(); err != nil {
			return nil, err
		}
		defer e.down()
		special = e
	}
	time.Sleep(calm)
	const id = "00000000c0000001"
	body := []byte(`{"spec":"2500","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":2500,"required_label":"b"}]}`)
	if status, answer := callers.ask(http.MethodPost, id, body, 0); status != http.StatusOK {
		return nil, fmt.Errorf("the job wasn't accepted: %d %s", status, answer)
	}
	time.Sleep(flapPeriod / 2)
	for began := time.Now(); trouble && time.Since(began) < flapDuration; {
		special.down()
		time.Sleep(flapPeriod / 2)
		if err := special.up(); err != nil {
			return nil, err
		}
		time.Sleep(flapPeriod / 2)
	}
	c.record.add("the executor stays up")
	for deadline := time.Now().Add(finish); ; time.Sleep(time.Second) {
		_, state := callers.ask(http.MethodGet, id, nil, 0)
		switch {
		case strings.Contains(state, "failed"):
			return []string{"LOST: the job is shown as failed, though none of its runs has ended failed"}, nil
		case strings.Contains(state, "completed"):
			return nil, nil
		case time.Now().After(deadline):
			return []string{"LOST: the job isn't completed finish_s after the trouble: " + state}, nil
		}
	}
}
