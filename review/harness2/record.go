package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, and notes whether a rule was broken. It is safe for concurrent use.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	began  time.Time
	breaks []string
	errors []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// add writes one line: the time in seconds, who acted, what, on what, and details.
func (r *record) add(who, what, on, details string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %-10s %-28s %s\n", time.Since(r.began).Seconds(), who, what, on, details)
}

// breaks notes that a rule was broken.
func (r *record) broken(rule, details string) {
	r.add("judge", "BROKEN", rule, details)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.breaks = append(r.breaks, rule+": "+details)
}

// fail notes that the case couldn't run.
func (r *record) fail(details string) {
	r.add("judge", "can't run", "", details)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.errors = append(r.errors, details)
}

// status returns the exit status of the case: 1 if a rule was broken, 2 if it couldn't run, 0 otherwise.
func (r *record) status() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case len(r.breaks) > 0:
		fmt.Println(len(r.breaks), "breaks, the first:", r.breaks[0])
		return 1
	case len(r.errors) > 0:
		fmt.Println("couldn't run:", r.errors[0])
		return 2
	}
	fmt.Println("the rule held")
	return 0
}
