package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// platform lists and maintains the machines of the workers. The mutex of the deployment guards its state.
type platform struct {
	d       *deployment
	address string
	states  map[string]string // by machine
	fences  map[string]uint64 // highest fencing token seen, by machine
	begun   map[string]bool   // machines whose upkeep has begun
	workers map[string]*worker
	// holdNext, if set, decides whether the next order gets no answer and is carried out late.
	holdNext func(o *upkeepOrder) bool
	held     *upkeepOrder
	// worst is the largest number of machines that were down when an upkeep began, that one excluded.
	worst int
}

// upkeepOrder is an order to begin the upkeep of a machine.
type upkeepOrder struct {
	Machine string `json:"machine"`
	Wave    int    `json:"wave"`
	holder  string
	fence   uint64
	sentAt  time.Time
}

func newPlatform(d *deployment) (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		d: d, address: listener.Addr().String(), states: map[string]string{}, fences: map[string]uint64{}, begun: map[string]bool{},
		workers: map[string]*worker{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	go func() { _ = http.Serve(listener, mux) }()
	return p, nil
}

func (p *platform) setMachines(workers []*worker) {
	p.d.mutex.Lock()
	defer p.d.mutex.Unlock()
	for _, w := range workers {
		p.states[w.machine], p.workers[w.machine] = "up", w
	}
}

func (p *platform) list(out http.ResponseWriter, _ *http.Request) {
	p.d.mutex.Lock()
	machines := []any{}
	for machine, state := range p.states {
		w := p.workers[machine]
		machines = append(machines, map[string]any{
			"machine": machine, "pool": poolName, "state": state, "zone": w.zone, "labels": w.labels, "id": w.id,
			"capacity": map[string]any{"cpu": 64000, "mem_mb": 256000, "gpu": 0},
		})
	}
	p.d.mutex.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": machines, "next_token": nil})
}

func (p *platform) upkeep(out http.ResponseWriter, r *http.Request) {
	o := &upkeepOrder{holder: r.Header.Get("Duty-Holder"), sentAt: time.Now()}
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(o) != nil || err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	o.fence = fence
	p.d.mutex.Lock()
	if p.holdNext != nil && p.holdNext(o) {
		p.holdNext, p.held = nil, o
		p.d.record.log("platform: upkeep of %s by %s, fence %d -> no answer, to be carried out late", o.Machine, o.holder, o.fence)
		p.d.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	status, reason := p.carryOut(o)
	p.d.mutex.Unlock()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{"reason": reason})
}

// carryOut carries an order out, and records how many other machines are down at that time. The caller holds the mutex.
func (p *platform) carryOut(o *upkeepOrder) (status int, reason string) {
	down := p.downMachines(o.Machine)
	switch {
	case p.workers[o.Machine] == nil:
		status = http.StatusBadRequest
	case o.fence < p.fences[o.Machine]:
		status, reason = http.StatusConflict, "fence"
	case p.begun[o.Machine]:
		status = http.StatusOK
	case p.states[o.Machine] != "up":
		status, reason = http.StatusConflict, "busy"
	default:
		status = http.StatusOK
		p.begun[o.Machine], p.states[o.Machine] = true, "upkeep"
		p.worst = max(p.worst, len(down))
		p.d.background.Go(func() { p.maintain(o.Machine) })
	}
	p.fences[o.Machine] = max(p.fences[o.Machine], o.fence)
	p.d.record.log("platform: upkeep of %s by %s, fence %d -> %d %s; others down: %v", o.Machine, o.holder, o.fence, status, reason, down)
	return status, reason
}

// downMachines returns the machines that are down for their upkeep, except one.
func (p *platform) downMachines(except string) []string {
	var down []string
	for machine, state := range p.states {
		if state == "upkeep" && machine != except {
			down = append(down, machine)
		}
	}
	slices.Sort(down)
	return down
}

// maintain takes a machine through its upkeep. Afterwards a new executor joins under another id.
func (p *platform) maintain(machine string) {
	w := p.workers[machine]
	w.crash()
	if !p.d.sleep(maintenanceTime) {
		return
	}
	p.d.mutex.Lock()
	w.id = fmt.Sprintf("%s-%d", w.id, w.lives)
	p.d.mutex.Unlock()
	if err := w.restart(); err != nil {
		p.d.record.log("machine %s can't restart: %v", machine, err)
		return
	}
	p.d.mutex.Lock()
	p.states[machine] = "up"
	p.d.record.log("platform: machine %s is up again", machine)
	p.d.mutex.Unlock()
}
