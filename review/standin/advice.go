package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// adviceService decides which workers may run the steps of jobs in advised queues. The mutex of the deployment guards its
// state.
type adviceService struct {
	d       *deployment
	address string
	advised map[string]bool   // jobs in advised queues
	allowed map[string]bool   // ids of the workers that the policy allows
	tickets map[string]ticket // by text
	calls   int
	serving chan struct{} // one call at a time
}

// ticket allows a step on one life of a worker.
type ticket struct {
	step    string
	worker  *worker
	life    int
	expires time.Time
}

func newAdviceService(d *deployment) (*adviceService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviceService{
		d: d, address: listener.Addr().String(), advised: map[string]bool{}, allowed: map[string]bool{}, tickets: map[string]ticket{},
		serving: make(chan struct{}, 1),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

// isAdvised reports whether a step needs tickets. The caller holds the mutex.
func (a *adviceService) isAdvised(step string) bool {
	job, _, _ := strings.Cut(step, ".")
	return a.advised[job]
}

// isValid reports whether a ticket allows a step in the present life of a worker. The caller holds the mutex.
func (a *adviceService) isValid(text, step string, w *worker) bool {
	t, ok := a.tickets[text]
	return ok && t.step == step && t.worker == w && t.life == w.lives && time.Now().Before(t.expires)
}

func (a *adviceService) advise(out http.ResponseWriter, r *http.Request) {
	request := struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}{}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Workers) > 100 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	policy := a.d.routes[0].Hint
	a.serving <- struct{}{}
	a.d.sleep(time.Duration(policy.DecisionMs+policy.IntervalMs*len(request.Workers)) * time.Millisecond)
	<-a.serving
	a.d.mutex.Lock()
	defer a.d.mutex.Unlock()
	a.calls++
	good := [][]string{}
	for _, id := range request.Workers {
		if !a.allowed[id] {
			continue
		}
		for _, w := range a.d.workers {
			if w.id == id && w.isUp {
				text := fmt.Sprintf("t-%d-%s-%d", a.calls, id, w.lives)
				a.tickets[text] = ticket{step: request.Step, worker: w, life: w.lives, expires: time.Now().Add(time.Duration(policy.ValidMs) * time.Millisecond)}
				good = append(good, []string{id, text})
			}
		}
	}
	a.d.record.log("advice: %s on %v -> good %v", request.Step, request.Workers, good)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"good": good, "valid_ms": policy.ValidMs})
}
