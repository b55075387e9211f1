package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playLostSeed kills one of the three first controllers for good right after the first start of the system.
func playLostSeed(b *bench) {
	if err := b.cluster.start(); err != nil {
		b.fail(err.Error())
		return
	}
	if b.trouble {
		b.cluster.signal(b.cluster.members[0], syscall.SIGKILL)
	}
	if !b.operator.order(1, "PUT", "/config", configuration(3, 3), 60*time.Second) {
		b.broken("FAULT", "no request is served: no configuration was acknowledged within 60 s of the first start, with one of the first machines lost")
	}
}

// playOverflow hands in a job of which the number of tasks doesn't fit into 64 bits.
func playOverflow(b *bench) {
	if !b.begin(6, 3, 32_000, 3) {
		return
	}
	end := b.watchMemory()
	first, body := b.clients.simpleJob(1, 1000, time.Second)
	accepted := b.clients.submit(first, body)
	if b.trouble {
		const most = 1<<32 - 1
		job := &jobState{id: b.clients.newID(), steps: []taskSpec{{count: most}}}
		b.clients.submit(job, map[string]any{"steps": []any{map[string]any{"count": most, "cpu": 10}}, "repeats": most})
	}
	time.Sleep(10 * time.Second)
	if accepted {
		b.awaitAnswers([]*jobState{first})
	}
	ended := 0
	for name, n := range end() {
		b.add("judge", "note", name, fmt.Sprintf("ended %d times for its memory", n))
		if n >= 3 {
			ended++
		}
	}
	if 2*ended >= controllers {
		b.broken("FAULT", fmt.Sprintf("%d processes have ended three times or more for their memory", ended))
	}
}

// playPending has the executors answer 503 to starts for a while, and asks for the number of pending jobs.
func playPending(b *bench) {
	const refusing = 6500 * time.Millisecond
	if !b.begin(1, 1, 32_000, 3) {
		return
	}
	if b.trouble {
		b.fleet.mutex.Lock()
		b.fleet.refusesUntil = time.Now().Add(refusing)
		b.fleet.mutex.Unlock()
	}
	const jobs = 4
	for range jobs {
		job, body := b.clients.simpleJob(1, 10_000, 20*time.Second)
		if !b.clients.submit(job, body) {
			b.fail("a job was not accepted")
			return
		}
	}
	accepted := time.Now()
	for time.Since(accepted) < 6*time.Second {
		time.Sleep(200 * time.Millisecond)
		begun := b.judge.startsSince(time.Time{})
		a := call(http.MethodGet, frontURL(0, ""), host, nil, time.Second)
		reply := struct{ Pending *int }{}
		if a.status != http.StatusOK || json.Unmarshal(a.body, &reply) != nil || reply.Pending == nil {
			continue
		}
		b.add("client", "pending", "", fmt.Sprintf("%d, %d of %d jobs have begun", *reply.Pending, begun, jobs))
		if time.Since(accepted) > 5*time.Second && 2**reply.Pending < jobs-begun {
			b.broken("MIXED", fmt.Sprintf("pending is %d, and %d jobs haven't begun %.1f s after they were accepted", *reply.Pending, jobs-begun, time.Since(accepted).Seconds()))
			return
		}
	}
}
