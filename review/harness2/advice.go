package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	decisionTime   = 20 * time.Millisecond // decision_ms
	decisionOfEach = 2 * time.Millisecond  // interval_ms
	ticketTime     = 5 * time.Second       // valid_ms

	advisedPrefix = "/h/"
)

// advisor is a stand-in for the service that knows which executors may run a step. It allows all of them.
type advisor struct {
	fleet   *fleet
	address string

	mutex   sync.Mutex
	tickets map[string]time.Time // until when they are valid
}

func newAdvisor(f *fleet) (*advisor, error) {
	listener, err := net.Listen("tcp", platformIP()+":0")
	if err != nil {
		return nil, err
	}
	a := &advisor{fleet: f, address: listener.Addr().String(), tickets: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return a, nil
}

func (a *advisor) advise(out http.ResponseWriter, r *http.Request) {
	question := struct {
		Step    string
		Workers []string
	}{}
	if json.NewDecoder(r.Body).Decode(&question) != nil || len(question.Workers) > 100 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decisionTime + time.Duration(len(question.Workers))*decisionOfEach)
	good := [][]string{}
	a.mutex.Lock()
	for _, id := range question.Workers {
		ticket := question.Step + "/" + id
		a.tickets[ticket] = time.Now().Add(ticketTime)
		good = append(good, []string{id, ticket})
	}
	a.mutex.Unlock()
	a.fleet.record.add("platform", "advise", question.Step, fmt.Sprintf("%d executors, all good: %v", len(question.Workers), question.Workers))
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// allows reports whether a start carries a valid ticket.
func (a *advisor) allows(_ *executor, o *orderBody) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Now().Before(a.tickets[o.Ticket])
}

// playAdvice has 30 executors with a task that serves each, to which 10 are added that run nothing, and a queue with a hint whose policy allows all of them. A
// task that fills is handed in to it. Beside a task that serves it raises the tail of that one over its target.
func playAdvice(b *bench) {
	const serving, added = 30, 10
	a, err := newAdvisor(b.fleet)
	if err != nil {
		b.fail(err.Error())
		return
	}
	b.fleet.advisor, b.cluster.advice, b.fleet.disturbs = a, a.address, b.trouble
	b.kinds = func(number int) string {
		if number < serving {
			return "a"
		}
		return "b"
	}
	b.config = configuration(3, 3)
	routes := b.config["routes"].([]any)
	b.config["routes"] = append(routes, map[string]any{
		"name": "h", "host": host, "path_prefix": advisedPrefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 1000, "priority": 2,
		"service": "pool", "max_attempts": 3, "stretch": 2.0,
		"hint": map[string]any{"decision_ms": decisionTime.Milliseconds(), "interval_ms": decisionOfEach.Milliseconds(), "valid_ms": ticketTime.Milliseconds()},
	})
	if !b.begin(serving, 3, 64_000, 3) {
		return
	}
	lasting := &jobState{id: b.clients.newID(), steps: []taskSpec{{count: serving, cpu: 8000, lasts: true, target: 20}}}
	if !b.clients.submit(lasting, map[string]any{"steps": []any{map[string]any{
		"count": serving, "cpu": 8000, "mem_mb": 2000, "perpetual": true, "image": "server", "target_ms": 20, "max_per_server": 1, "required_label": "a",
	}}}) {
		b.fail("the job that serves was not accepted")
		return
	}
	time.Sleep(3 * time.Second)
	if !b.addExecutors(added, 3, 64_000) {
		return
	}
	time.Sleep(4 * time.Second)
	job := &jobState{id: b.clients.newID(), prefix: advisedPrefix, steps: []taskSpec{{count: 1, cpu: 6000, work: 8 * time.Second, fills: true, ticketed: true}}}
	if !b.clients.submit(job, map[string]any{"steps": []any{map[string]any{
		"count": 1, "cpu": 6000, "mem_mb": 1000, "estimate_ms": 8000, "fills": true, "image": "filler",
	}}}) {
		b.fail("the job that fills was not accepted")
		return
	}
	time.Sleep(60 * time.Second)
	b.checkIdle(job)
}
