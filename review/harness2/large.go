package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimit   = 280 // memory_mb of the settings
	restartDelay  = 500 * time.Millisecond
	finishTime    = 14 * time.Second // finish_s
	minutesOfADay = 24 * 60
)

// rss returns the resident memory of a process in MB.
func rss(p *process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that uses more than its memory limit, and starts it again after a short delay. It
// returns a function that ends this and returns how often each process was killed.
func (b *bench) watchMemory() (end func() map[string]int) {
	stop := make(chan struct{})
	kills := make([]int, len(b.cluster.members))
	var group sync.WaitGroup
	for i, p := range b.cluster.members {
		group.Go(func() { kills[i] = b.watchProcess(p, stop) })
	}
	return func() map[string]int {
		close(stop)
		group.Wait()
		byName := map[string]int{}
		for i, p := range b.cluster.members {
			byName[p.name] = kills[i]
		}
		return byName
	}
}

// watchProcess does so for one process.
func (b *bench) watchProcess(p *process, stop <-chan struct{}) (kills int) {
	highest := 0
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(100 * time.Millisecond):
		}
		used := rss(p)
		if used/20 > highest/20 {
			highest = used
			b.add("platform", "memory", p.name, fmt.Sprintf("%d MB", used))
		}
		if used <= memoryLimit {
			continue
		}
		kills++
		b.add("platform", "kill", p.name, fmt.Sprintf("it uses %d MB of %d", used, memoryLimit))
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
		time.Sleep(restartDelay)
		if err := b.cluster.run(p); err != nil {
			b.fail(err.Error())
			return kills
		}
	}
}

// playScheduled hands in jobs that run each minute of a day.
func playScheduled(b *bench) {
	const jobs = 200
	if !b.begin(12, 3, 32_000, 3) {
		return
	}
	end := b.watchMemory()
	repeats := minutesOfADay
	if !b.trouble {
		repeats = 8
	}
	var accepted []*jobState
	handIn := time.Now().Add(45 * time.Second)
	for range jobs {
		job := &jobState{id: b.clients.newID(), steps: []taskSpec{{count: 8, cpu: 500, work: 300 * time.Millisecond}}}
		body := map[string]any{
			"steps":   []any{map[string]any{"count": 8, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}},
			"repeats": repeats, "start_at_ms": time.Now().Add(time.Hour).UnixMilli(), "period_ms": 60_000,
		}
		if b.clients.submit(job, body) {
			accepted = append(accepted, job)
		}
		if time.Now().After(handIn) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.add("client", "accepted", "", fmt.Sprintf("%d jobs of 8 tasks, %d times each", len(accepted), repeats))
	b.awaitAnswers(accepted)
	ended := 0
	for name, n := range end() {
		b.add("judge", "note", name, fmt.Sprintf("ended %d times for its memory", n))
		if strings.HasPrefix(name, "controller") && n >= 3 {
			ended++
		}
	}
	if 2*ended >= controllers {
		b.broken("FAULT", fmt.Sprintf("on %d of %d machines of the core, processes have ended three times or more for their memory", ended, controllers))
	}
}

// awaitAnswers asks for accepted jobs until finish_s have passed. A job that is unknown, or for which there was no answer, is lost.
func (b *bench) awaitAnswers(accepted []*jobState) {
	if len(accepted) == 0 {
		b.fail("no job was accepted")
		return
	}
	asked := accepted
	if n := len(accepted); n > 3 {
		asked = []*jobState{accepted[0], accepted[n/2], accepted[n-1]}
	}
	deadline := time.Now().Add(finishTime)
	for _, job := range asked {
		job.shown = ""
	}
	for time.Now().Before(deadline) {
		open := false
		for _, job := range asked {
			if job.shown == "" || job.shown == "gone" {
				job.shown = b.clients.state(job.id)
				b.add("client", "GET", job.id, "state "+job.shown)
				open = open || job.shown == ""
			}
		}
		if !open {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, job := range asked {
		if job.shown == "" || job.shown == "gone" {
			b.broken("LOST", fmt.Sprintf("accepted job %s: last answer %q, %v after the end of the traffic", job.id, job.shown, finishTime))
		}
	}
}

// playShards hands in one job with a step for each of its tasks, as tasks need that differ in size or in where their data is. Its body is
// smaller than max_body_bytes, 262144.
func playShards(b *bench) {
	shards := 12_000
	if !b.trouble {
		shards = 120
	}
	if !b.begin(12, 3, 32_000, 3) {
		return
	}
	stop := make(chan struct{})
	b.clients.group.Go(func() { b.clients.load(200*time.Millisecond, stop) })
	time.Sleep(2 * time.Second)
	job := &jobState{id: b.clients.newID()}
	var steps []any
	for range shards {
		job.steps = append(job.steps, taskSpec{count: 1, cpu: 10, work: 200 * time.Millisecond})
		steps = append(steps, map[string]any{"count": 1, "cpu": 10})
	}
	if !b.clients.submit(job, map[string]any{"steps": steps}) {
		close(stop)
		b.clients.group.Wait()
		b.fail("the job was not accepted")
		return
	}
	accepted := time.Now()
	time.Sleep(20 * time.Second)
	close(stop)
	b.clients.group.Wait()
	b.awaitAnswers([]*jobState{job})
	time.Sleep(time.Until(accepted.Add(20*time.Second + finishTime)))
	b.checkIdle(job)
}

// checkIdle checks that a job whose turn has come doesn't stand still for 3 s, while nearly all room is free.
func (b *bench) checkIdle(job *jobState) {
	const idleTime = 3 * time.Second
	began := time.Now()
	for time.Since(began) < idleTime {
		done, running := b.judge.countTasks(job)
		if running > 0 || done == len(job.steps) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	done, _ := b.judge.countTasks(job)
	b.broken("LOST", fmt.Sprintf("job %s has nothing running for %v, with %d of %d tasks done; %d tasks of any job have started in the last 20 s",
		job.id, idleTime, done, len(job.steps), b.judge.startsSince(time.Now().Add(-20*time.Second))))
}
