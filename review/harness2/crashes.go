package main

import (
	"fmt"
	"time"
)

const (
	crashAfter = 250 * time.Millisecond // from the start of the task
	downTime   = 1500 * time.Millisecond
)

// playCrashes crashes the executor of a sound task twice, a short time after it has started the task. The executors come back, and no run of the
// task ends 'failed'.
func playCrashes(b *bench) {
	const maxAttempts = 2
	if !b.begin(12, 3, 32_000, maxAttempts) {
		return
	}
	stop := make(chan struct{})
	defer b.clients.group.Wait()
	defer close(stop)
	b.clients.group.Go(func() { b.clients.load(time.Second, stop) })
	time.Sleep(3 * time.Second)
	job, body := b.clients.simpleJob(1, 3000, 2500*time.Millisecond)
	crashes := 0
	b.judge.onStart = func(e *executor, task string, _ int) {
		if task != job.id+".0.0.0" || !b.trouble || crashes >= maxAttempts {
			return
		}
		crashes++
		time.AfterFunc(crashAfter, func() {
			e.crash("crash")
			time.Sleep(downTime)
			if err := e.start(false); err != nil {
				b.fail(err.Error())
			}
		})
	}
	if !b.clients.submit(job, body) {
		b.fail("the job was not accepted")
		return
	}
	state := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		state = b.clients.state(job.id)
		b.add("client", "GET", job.id, "state "+state)
		if state == "completed" || state == "failed" || state == "gone" {
			break
		}
	}
	b.judge.mutex.Lock()
	defer b.judge.mutex.Unlock()
	t := job.tasks[job.id+".0.0.0"]
	switch {
	case t == nil:
		b.broken("LOST", "the task has never started")
	case state == "completed" && !t.done:
		b.broken("MIXED", "the job is shown as completed")
	case state != "completed":
		b.broken("LOST", fmt.Sprintf("the job is shown as %q after %d starts of its task, of which %d have ended 'failed', of %d allowed", state, t.starts, t.failed, maxAttempts))
	}
}
