package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// playSoak plays random jobs and faults.
func playSoak(b *bench) {
	seed, _ := strconv.ParseUint(flag.Arg(0), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	p, err := newPlatform(b.fleet)
	if err != nil {
		b.fail(err.Error())
		return
	}
	b.cluster.hosts = p.address
	if !b.begin(15, 3, 32_000, 5) {
		return
	}
	has := func(name string) bool { return strings.Contains(os.Getenv("FAULTS"), name) }
	stop := make(chan struct{})
	b.clients.group.Go(func() { b.clients.load(300*time.Millisecond, stop) })
	var jobs []*jobState
	faultsEnd := time.Now().Add(30 * time.Second)
	waveNumber := 0
	if has("late") {
		b.fleet.late, p.late = 0.03, 0.3
	}
	for time.Now().Before(faultsEnd) {
		job, body := randomJob(b.clients, random)
		jobs = append(jobs, job)
		b.clients.group.Go(func() { b.clients.submit(job, body) })
		if has("wave") && random.IntN(6) == 0 {
			waveNumber++
			var names []string
			for _, i := range random.Perm(15)[:5] {
				names = append(names, fmt.Sprintf("m-%d", i))
			}
			w := &wave{machines: names, most: 1 + random.IntN(2), begun: map[string]bool{}}
			p.mutex.Lock()
			p.waves[waveNumber] = w
			p.mutex.Unlock()
			number := waveNumber
			b.clients.group.Go(func() {
				b.operator.order(0, "POST", "/wave-start", map[string]any{"wave": number, "machines": names, "within_s": 20, "max_count": w.most}, 8*time.Second)
			})
		}
		switch random.IntN(8) {
		case 0:
			if has("crash") {
				e := b.fleet.executors[random.IntN(15)]
				same := random.IntN(2) == 0
				b.clients.group.Go(func() {
					p.mutex.Lock()
					free := p.state[e.machine] == ""
					p.mutex.Unlock()
					if free && e.up {
						e.crash("crash")
						time.Sleep(1500 * time.Millisecond)
						if err := e.start(same); err != nil {
							b.add("judge", "note", e.id, err.Error())
						}
					}
				})
			}
		case 1:
			if has("kill") {
				b.restart(b.cluster.members[random.IntN(controllers)], syscall.SIGKILL)
			}
		case 2:
			if has("term") {
				b.restart(b.cluster.members[random.IntN(controllers)], syscall.SIGTERM)
			}
		case 3:
			if has("freeze") {
				m := b.cluster.members[random.IntN(controllers)]
				b.cluster.signal(m, syscall.SIGSTOP)
				time.Sleep(time.Duration(1+random.IntN(5)) * time.Second)
				b.cluster.signal(m, syscall.SIGCONT)
			}
		}
		time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
	}
	close(stop)
	b.fleet.mutex.Lock()
	b.fleet.late = 0
	b.fleet.mutex.Unlock()
	b.clients.group.Wait()
	b.awaitEnd(jobs)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for number, w := range p.waves {
		a := call("GET", controlURL(0, fmt.Sprintf("/wave-get/%d", number)), "", nil, time.Second)
		b.add("operator", "wave", strconv.Itoa(number), string(a.body))
		if strings.Contains(string(a.body), "completed") && len(w.begun) < len(w.machines) {
			b.broken("MIXED", fmt.Sprintf("wave %d is completed with %d of %d", number, len(w.begun), len(w.machines)))
		}
		if !strings.Contains(string(a.body), "completed") {
			b.broken("SLOW", fmt.Sprintf("wave %d isn't completed: %d of %d, %s", number, len(w.begun), len(w.machines), a.body))
		}
	}
	if n := len(b.judge.alone); n > 0 {
		b.broken("ALONE", fmt.Sprint(n))
	}
}

func (b *bench) restart(m *process, s syscall.Signal) {
	b.cluster.signal(m, s)
	select {
	case <-m.ended:
	case <-time.After(6 * time.Second):
		b.cluster.signal(m, syscall.SIGKILL)
		<-m.ended
	}
	time.Sleep(200 * time.Millisecond)
	if err := b.cluster.run(m); err != nil {
		b.fail(err.Error())
	}
}

// awaitEnd waits until all accepted jobs are shown as completed.
func (b *bench) awaitEnd(jobs []*jobState) {
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		var open []string
		for _, job := range jobs {
			if job.accepted.IsZero() || job.shown == "completed" || job.shown == "cancelled" || job.steps[0].lasts {
				continue
			}
			job.shown = b.clients.state(job.id)
			if job.shown != "completed" && job.shown != "cancelled" {
				open = append(open, job.id+" "+job.shown)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(deadline) {
			b.broken("LOST", fmt.Sprint(open))
			return
		}
	}
}

func randomJob(c *clients, random *rand.Rand) (*jobState, map[string]any) {
	work := time.Duration(300+random.IntN(1500)) * time.Millisecond
	job := &jobState{id: c.newID()}
	body := map[string]any{}
	step := func(spec taskSpec, extra map[string]any) map[string]any {
		spec.mem = 256
		job.steps = append(job.steps, spec)
		s := map[string]any{"count": spec.count, "cpu": spec.cpu, "mem_mb": 256, "estimate_ms": work.Milliseconds()}
		for k, v := range extra {
			s[k] = v
		}
		return s
	}
	switch random.IntN(5) {
	case 0:
		body["steps"] = []any{
			step(taskSpec{count: 4 + random.IntN(20), cpu: 3000, work: work, gang: true, saves: true}, map[string]any{"gang": true, "checkpointable": true}),
			step(taskSpec{count: 3, cpu: 2000, work: work, after: []int{0}}, map[string]any{"after": []int{0}}),
		}
	case 1:
		job.repeats, job.startAt, job.period = 4, time.Now().Add(time.Second).Truncate(time.Millisecond), 2*time.Second
		body["repeats"], body["start_at_ms"], body["period_ms"] = 4, job.startAt.UnixMilli(), 2000
		body["steps"] = []any{
			step(taskSpec{count: 4, cpu: 3000, work: work}, nil),
			step(taskSpec{count: 2, cpu: 2000, work: work, after: []int{0}}, map[string]any{"after": []int{0}}),
		}
	case 2:
		body["steps"] = []any{step(taskSpec{count: 5, cpu: 1000, lasts: true, target: 10}, map[string]any{"perpetual": true, "image": "x", "target_ms": 10, "may_miss": 1, "max_per_server": 1})}
	case 3:
		body["steps"] = []any{
			step(taskSpec{count: 6, cpu: 8000, work: 3 * work, saves: true}, map[string]any{"checkpointable": true}),
			step(taskSpec{count: 6, cpu: 3000, work: work, after: []int{0}}, map[string]any{"after": []int{0}}),
		}
	default:
		body["steps"] = []any{step(taskSpec{count: 3 + random.IntN(4), cpu: 16000, work: work, gang: true}, map[string]any{"gang": true, "same_rack": random.IntN(2) == 0})}
	}
	return job, body
}
