package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold          = 6 * time.Second
	stopGrace        = 50 * time.Millisecond
	gangTimeout      = 3 * time.Second
	heartbeatTime    = 1500 * time.Millisecond
	startupOfLasting = 300 * time.Millisecond
)

// fleet holds all executors, and what is common to them: what jobs the clients have handed in, and the judge.
type fleet struct {
	mutex     sync.Mutex
	record    *record
	judge     *judge
	executors []*executor
	advisor   *advisor

	refusesUntil time.Time // until then starts are answered with 503

	disturbs bool // tasks that fill raise the tail of those that serve beside them over its target
}

// executor is a stand-in for an executor, as the pages describe it. It has one life at a time.
type executor struct {
	fleet   *fleet
	number  int
	machine string
	zone    string
	rack    string
	kind    string
	cpu     int64
	memory  int64

	// The fields below are guarded by the mutex of the fleet.
	up       bool
	id       string
	lives    int
	born     time.Time
	seq      int
	draining bool
	fence    uint64
	until    time.Time // end of the lease
	runs     map[string]*activeRun
	highest  map[string]int // highest run that was stopped or ended here
	ended    []endedRun
	seen     uint64 // ends up to this number are forgotten
	changed  chan struct{}
	server   *http.Server
	failsAll bool // fails all that it starts
}

// activeRun is a run in progress.
type activeRun struct {
	task    string
	run     int
	saved   string
	began   time.Time
	work    time.Duration
	alone   time.Time // when a member of a gang gives up, zero once all are there
	stopAt  time.Time // zero if it isn't being stopped
	spec    *taskSpec
	percent int // of its speed
}

type endedRun struct {
	number uint64
	task   string
	run    int
	how    string
	saved  string
}

// clock returns the executor's own clock.
func (e *executor) clock() time.Duration { return time.Since(e.born) + 100*time.Second }

// start begins a new life. A life under the same id knows nothing of the one before.
func (e *executor) start(sameID bool) error {
	e.fleet.mutex.Lock()
	defer e.fleet.mutex.Unlock()
	e.lives++
	if !sameID || e.id == "" {
		e.id = fmt.Sprintf("i-%d-%d", e.number, e.lives)
	}
	e.born, e.seq, e.draining, e.fence, e.until = time.Now(), 0, false, 0, time.Time{}
	e.runs, e.highest, e.ended, e.seen, e.changed = map[string]*activeRun{}, map[string]int{}, nil, 0, make(chan struct{})
	listener, err := net.Listen("tcp", e.address())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	life := e.lives
	mux.HandleFunc("POST /run-start", e.serve(life, e.startRun))
	mux.HandleFunc("POST /run-stop", e.serve(life, e.stopRun))
	mux.HandleFunc("POST /hold", e.serve(life, e.hold))
	mux.HandleFunc("POST /pace", e.serve(life, e.pace))
	e.server = &http.Server{Handler: mux}
	e.up = true
	go func() { _ = e.server.Serve(listener) }()
	go e.work(life)
	go e.beat(life)
	e.fleet.record.add("executor", "up", e.id, e.address()+" "+e.zone)
	return nil
}

func (e *executor) address() string { return fmt.Sprintf("%s:18080", executorIP(e.number)) }

// crash ends the life without notice.
func (e *executor) crash(why string) {
	e.fleet.mutex.Lock()
	if !e.up {
		e.fleet.mutex.Unlock()
		return
	}
	e.up = false
	server := e.server
	for task, r := range e.runs {
		e.fleet.judge.ended(e, task, r.run, "lost")
	}
	e.runs = map[string]*activeRun{}
	e.fleet.record.add("executor", why, e.id, "")
	e.fleet.mutex.Unlock()
	_ = server.Close()
}

// orderBody is the body of a call to an executor.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// serve returns the handler of a call for one life.
func (e *executor) serve(life int, handle func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		o := orderBody{}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		e.fleet.mutex.Lock()
		if !e.up || e.lives != life {
			e.fleet.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
			e.fleet.mutex.Unlock()
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, reply := e.execute(&o, handle)
		changed := e.changed
		if status == http.StatusOK && o.WaitMs > 0 && strings.HasSuffix(r.URL.Path, "hold") && !e.hasUnseen() {
			e.fleet.mutex.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
			}
			e.fleet.mutex.Lock()
			if !e.up || e.lives != life {
				e.fleet.mutex.Unlock()
				panic(http.ErrAbortHandler)
			}
			_, reply = e.hold(&o)
			reply["born"], reply["clock_ms"] = e.born.UnixMilli(), e.clock().Milliseconds()
		}
		e.fleet.mutex.Unlock()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_ = json.NewEncoder(out).Encode(reply)
	}
}

func (e *executor) hasUnseen() bool {
	return len(e.ended) > 0 && e.ended[len(e.ended)-1].number > e.seen
}

// execute checks the fencing token, extends the lease and handles the call.
func (e *executor) execute(o *orderBody, handle func(*orderBody) (int, map[string]any)) (int, map[string]any) {
	reply := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	if o.FenceToken < e.fence {
		reply["reason"] = "fence"
		return http.StatusConflict, reply
	}
	e.fence = o.FenceToken
	if left := time.Duration(o.UntilMs)*time.Millisecond - e.clock(); left > 0 {
		if until := time.Now().Add(min(left, maxHold)); until.After(e.until) {
			e.until = until
		}
	}
	status, extra := handle(o)
	for key, value := range extra {
		reply[key] = value
	}
	return status, reply
}

func (e *executor) startRun(o *orderBody) (int, map[string]any) {
	switch r := e.runs[o.Task]; {
	case r != nil && r.run == o.Run:
		return http.StatusOK, nil
	case r != nil && r.run > o.Run || o.Run <= e.highest[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case time.Duration(o.UntilMs)*time.Millisecond <= e.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	if time.Now().Before(e.fleet.refusesUntil) {
		return http.StatusServiceUnavailable, nil
	}
	spec := e.fleet.judge.started(e, o)
	if spec == nil {
		return http.StatusBadRequest, nil
	}
	if spec.ticketed && !e.fleet.advisor.allows(e, o) {
		e.fleet.judge.ended(e, o.Task, o.Run, "no ticket")
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	r := &activeRun{task: o.Task, run: o.Run, saved: o.Saved, began: time.Now(), work: spec.work, spec: spec, percent: 100}
	e.runs[o.Task] = r
	if spec.gang {
		r.alone = time.Now().Add(gangTimeout)
		e.fleet.meetGang(o.Task, o.Run, spec)
	}
	return http.StatusOK, nil
}

// meetGang begins the work of a gang once all members of a run are there.
func (f *fleet) meetGang(task string, run int, spec *taskSpec) {
	prefix := task[:strings.LastIndex(task, ".")+1]
	var members []*activeRun
	for _, e := range f.executors {
		if !e.up {
			continue
		}
		for name, r := range e.runs {
			if strings.HasPrefix(name, prefix) && r.run == run {
				members = append(members, r)
			}
		}
	}
	if len(members) < spec.count {
		return
	}
	for _, r := range members {
		r.alone, r.began = time.Time{}, time.Now()
	}
}

// breakGang ends the other members of a run of a gang.
func (f *fleet) breakGang(ended *activeRun) {
	prefix := ended.task[:strings.LastIndex(ended.task, ".")+1]
	for _, e := range f.executors {
		if !e.up {
			continue
		}
		for name, r := range e.runs {
			if strings.HasPrefix(name, prefix) && r.run == ended.run {
				e.end(r, "broken")
			}
		}
	}
}

func (e *executor) stopRun(o *orderBody) (int, map[string]any) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGrace)
	}
	return http.StatusOK, nil
}

func (e *executor) pace(o *orderBody) (int, map[string]any) {
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		r.percent = o.Percent
		return http.StatusOK, nil
	}
	return http.StatusConflict, map[string]any{"reason": "old"}
}

// hold lists the runs and the ends that aren't forgotten yet.
func (e *executor) hold(o *orderBody) (int, map[string]any) {
	if o.LastSeen > e.seen {
		for _, end := range e.ended {
			if end.number > e.seen && end.number <= o.LastSeen {
				e.fleet.judge.noted(e, end)
			}
		}
		e.seen = o.LastSeen
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.run, r.checkpoint(), r.progress(), e.measure(r)})
	}
	for _, end := range e.ended {
		if end.number > e.seen && len(ended) < 500 {
			ended = append(ended, []any{end.number, end.task, end.run, end.how, end.saved})
		}
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

func (r *activeRun) progress() int {
	switch {
	case !r.alone.IsZero():
		return 0
	case r.spec.lasts:
		return min(100, int(100*time.Since(r.began)/startupOfLasting))
	}
	return min(99, int(100*time.Since(r.began)/max(r.work, time.Millisecond)))
}

// measure returns the tail of a task that serves, which is higher while a task that fills works beside it, and the cpu in use of any other.
func (e *executor) measure(r *activeRun) int64 {
	if !r.spec.lasts || r.spec.target == 0 {
		return r.spec.cpu
	}
	for _, other := range e.runs {
		if other.spec.fills && other.percent > 0 && e.fleet.disturbs {
			return r.spec.target * 3 / 2
		}
	}
	return r.spec.target * 8 / 10
}

func (r *activeRun) checkpoint() string {
	if !r.spec.saves {
		return r.saved
	}
	if seconds := int(time.Since(r.began).Seconds()); seconds > 0 && r.alone.IsZero() {
		return strconv.Itoa(seconds) + "-" + strconv.Itoa(r.run)
	}
	return r.saved
}

// end ends a run and lists it.
func (e *executor) end(r *activeRun, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	number := uint64(len(e.ended) + 1)
	e.ended = append(e.ended, endedRun{number, r.task, r.run, how, r.checkpoint()})
	e.fleet.judge.ended(e, r.task, r.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
	if r.spec.gang && how != "broken" && how != "alone" {
		if how == "done" {
			f := e.fleet
			prefix := r.task[:strings.LastIndex(r.task, ".")+1]
			for _, other := range f.executors {
				for name, member := range other.runs {
					if other.up && strings.HasPrefix(name, prefix) && member.run == r.run {
						other.end(member, "done")
					}
				}
			}
			return
		}
		e.fleet.breakGang(r)
	}
}

// work ends runs as their time comes.
func (e *executor) work(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		e.fleet.mutex.Lock()
		if !e.up || e.lives != life {
			e.fleet.mutex.Unlock()
			return
		}
		now := time.Now()
		runs := make([]*activeRun, 0, len(e.runs))
		for _, r := range e.runs {
			runs = append(runs, r)
		}
		slices.SortFunc(runs, func(a, b *activeRun) int { return strings.Compare(a.task, b.task) })
		for _, r := range runs {
			switch {
			case now.After(e.until):
				e.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(r, "stopped")
			case !r.alone.IsZero():
				if now.After(r.alone) {
					e.end(r, "alone")
				}
			case r.spec.lasts:
			case e.failsAll || r.spec.fails:
				if now.Sub(r.began) > r.work/2 {
					e.end(r, "failed")
				}
			case now.Sub(r.began) >= r.work:
				e.end(r, "done")
			}
		}
		e.fleet.mutex.Unlock()
	}
}

// announcement returns the body of a heartbeat.
func (e *executor) announcement() map[string]any {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.seq++
	return map[string]any{
		"service": "pool", "address": e.address(), "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0}, "labels": []string{e.kind, e.rack}, "machine": e.machine,
		"clock_ms": e.clock().Milliseconds(), "seq": e.seq, "born": e.born.UnixMilli(), "remaining_ms": 4000,
	}
}

// beat sends heartbeats, each to one controller after the other until one acknowledges it.
func (e *executor) beat(life int) {
	next := e.number
	for {
		for range 2 * controllers {
			e.fleet.mutex.Lock()
			if !e.up || e.lives != life {
				e.fleet.mutex.Unlock()
				return
			}
			id, body := e.id, e.announcement()
			e.fleet.mutex.Unlock()
			if a := call(http.MethodPut, fmt.Sprintf("http://%s:%d/instances/%s", controllerIP(next%controllers), controlPort, id), "", body, time.Second); a.status/100 == 2 {
				break
			}
			next++
		}
		time.Sleep(heartbeatTime)
	}
}
