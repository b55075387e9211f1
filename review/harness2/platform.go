package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const upkeepTime = 2 * time.Second

// platform is a stand-in for the platform's service that lists machines and takes them down for upkeep.
type platform struct {
	fleet   *fleet
	address string
	late    float64
	slow    time.Duration

	mutex  sync.Mutex
	waves  map[int]*wave
	state  map[string]string // of machines that aren't up
	downBy map[string]int    // wave for which a machine is down
	fences map[string]uint64
	holder map[string]string
	orders []orderOf
}

type orderOf struct {
	at     time.Time
	holder string
	host   string
}

// wave is what the operator has asked for.
type wave struct {
	machines []string
	most     int
	begun    map[string]bool
}

func newPlatform(f *fleet) (*platform, error) {
	listener, err := net.Listen("tcp", platformIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{fleet: f, address: listener.Addr().String(), waves: map[int]*wave{}, state: map[string]string{}, downBy: map[string]int{}, fences: map[string]uint64{}, holder: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return p, nil
}

func (p *platform) list(out http.ResponseWriter, r *http.Request) {
	const page = 5
	time.Sleep(p.slow)
	first, _ := strconv.Atoi(r.URL.Query().Get("page_token"))
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	machines := []any{}
	last := min(first+page, len(p.fleet.executors))
	for _, e := range p.fleet.executors[first:last] {
		state := p.state[e.machine]
		switch {
		case state != "":
		case e.up:
			state = "up"
		default:
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": e.machine, "pool": "pool", "state": state, "zone": e.zone, "labels": []string{"a", e.rack},
			"capacity": map[string]any{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0}, "id": e.id,
		})
	}
	reply := map[string]any{"machines": machines}
	if last < len(p.fleet.executors) {
		reply["next_token"] = strconv.Itoa(last)
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(reply)
}

func (p *platform) upkeep(out http.ResponseWriter, r *http.Request) {
	o := struct {
		Machine string
		Wave    int
	}{}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(p.slow)
	if rand.Float64() < p.late {
		time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(8*time.Second))))
		p.begin(o.Machine, o.Wave, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"))
		panic(http.ErrAbortHandler)
	}
	status, reason := p.begin(o.Machine, o.Wave, r.Header.Get("Duty-Holder"), r.Header.Get("Fence-Token"))
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(map[string]any{"reason": reason})
}

// begin begins the upkeep of a machine.
func (p *platform) begin(machine string, number int, holder, fence string) (status int, reason string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	record := p.fleet.record
	token, _ := strconv.ParseUint(fence, 10, 64)
	defer func() {
		record.add("platform", "upkeep", machine, fmt.Sprintf("wave %d holder %s fence %s: %d %s", number, holder, fence, status, reason))
	}()
	switch {
	case token < p.fences[machine]:
		return http.StatusConflict, "fence"
	case token == p.fences[machine] && p.holder[machine] != holder:
		record.broken("ONE", machine+": two holders with one fencing token")
	}
	for _, other := range p.orders {
		if other.host == machine && other.holder != holder && time.Since(other.at) < 3*time.Second {
			record.broken("ONE", machine+": two holders within lease_ms")
		}
	}
	p.orders = append(p.orders, orderOf{time.Now(), holder, machine})
	p.fences[machine], p.holder[machine] = token, holder
	var on *executor
	for _, e := range p.fleet.executors {
		if e.machine == machine {
			on = e
		}
	}
	w := p.waves[number]
	switch {
	case on == nil:
		return http.StatusBadRequest, ""
	case w == nil || !contains(w.machines, machine):
		return http.StatusConflict, "wave"
	case w.begun[machine]:
		return http.StatusOK, ""
	case p.state[machine] != "" || !on.up:
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, name := range w.machines {
		if p.state[name] == "upkeep" && p.downBy[name] == number {
			down++
		}
	}
	if down >= w.most {
		record.broken("LIMIT", fmt.Sprintf("upkeep of %s begins while %d machines of its wave are down, of %d allowed", machine, down, w.most))
	}
	w.begun[machine] = true
	p.state[machine], p.downBy[machine] = "upkeep", number
	go func() {
		on.crash("upkeep")
		time.Sleep(upkeepTime)
		p.mutex.Lock()
		delete(p.state, machine)
		p.mutex.Unlock()
		if err := on.start(false); err != nil {
			record.fail(err.Error())
		}
	}()
	return http.StatusOK, ""
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
