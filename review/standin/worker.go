package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// worker is an executor of the platform. All of its state is guarded by the mutex of the deployment.
type worker struct {
	d       *deployment
	number  int
	id      string
	machine string
	zone    string
	labels  []string
	address string
	server  *http.Server

	isUp     bool
	lives    int
	polls    int
	sequence int
	started  time.Time // of this life
	fence    uint64    // highest fencing token seen in this life
	lease    time.Time // when everything that runs is killed
	running  map[string]*runRecord
	highest  map[string]uint32 // highest run that was stopped or has ended, by task
	ended    []endRecord
	lastEnd  uint64
	pollEnd  chan struct{} // closed and replaced at each end
	// failsStarts makes all runs fail shortly after their start.
	failsStarts bool
	// onStart is called, without the mutex, after a run was started.
	onStart func(r *runRecord)
	begun   chan struct{} // wakes the sender of heartbeats at the begin of a life
}

// runRecord is one run of a task, also after its end.
type runRecord struct {
	task    string
	run     uint32
	worker  *worker
	life    int
	started time.Time
	working time.Time // when it began to work; zero for a member of a gang that isn't complete
	ended   time.Time
	how     string // empty while it runs
	failsAt time.Time
	step    step
	gang    *gangState
}

// gangState is one run of a gang.
type gangState struct {
	present  int
	complete bool
}

// endRecord is a row of the list of ends.
type endRecord struct {
	number uint64
	run    *runRecord
	saved  string
}

func newWorker(d *deployment, number int) (*worker, error) {
	w := &worker{
		d: d, number: number, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), machine: fmt.Sprintf("m-%05x", 0x0a3f0+number),
		zone: d.zone(number), labels: []string{"a", fmt.Sprintf("r%d-1", number%4+1)}, pollEnd: make(chan struct{}), begun: make(chan struct{}, 1),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.begin(listener)
	d.background.Go(w.sendHeartbeats)
	return w, nil
}

// begin begins a life, which knows nothing of earlier ones.
func (w *worker) begin(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serve(w.handleStart))
	mux.HandleFunc("POST /run-stop", w.serve(w.handleStop))
	mux.HandleFunc("POST /hold", w.serve(w.handleHold))
	mux.HandleFunc("POST /pace", w.serve(func(*orderBody) (int, map[string]any) { return http.StatusOK, nil }))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	w.d.mutex.Lock()
	w.server, w.isUp, w.started = server, true, time.Now()
	w.lives++
	w.sequence, w.fence, w.lease, w.lastEnd, w.ended = 0, 0, time.Time{}, 0, nil
	w.running, w.highest = map[string]*runRecord{}, map[string]uint32{}
	w.d.mutex.Unlock()
	w.d.record.log("worker %s life %d begins", w.id, w.lives)
	go func() { _ = server.Serve(listener) }()
	select {
	case w.begun <- struct{}{}:
	default:
	}
}

// crash ends a life without notice. Its address refuses connections until it restarts.
func (w *worker) crash() {
	w.d.mutex.Lock()
	w.isUp = false
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "lost"
		w.d.record.log("worker %s: run %s/%d lost by the crash", w.id, r.task, r.run)
	}
	w.running = map[string]*runRecord{}
	server := w.server
	w.d.mutex.Unlock()
	w.d.record.log("worker %s crashes", w.id)
	_ = server.Close()
}

// restart begins a new life at the same address and under the same id.
func (w *worker) restart() error {
	var err error
	for range 20 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", w.address); err == nil {
			w.begin(listener)
			return nil
		}
		w.d.sleep(50 * time.Millisecond)
	}
	return err
}

func (w *worker) close() {
	w.d.mutex.Lock()
	server := w.server
	w.d.mutex.Unlock()
	_ = server.Close()
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	Ticket     string `json:"ticket"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// clockMs is the worker's clock, which starts anew with each life.
func (w *worker) clockMs() int64 { return 1000 + time.Since(w.started).Milliseconds() }

// serve returns the HTTP handler of a call.
func (w *worker) serve(handle func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		o := &orderBody{}
		if err := json.NewDecoder(r.Body).Decode(o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		status, reply := w.execute(r.Header.Get("Expect-Instance"), o, handle)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		if reply != nil {
			_ = json.NewEncoder(out).Encode(reply)
		}
	}
}

// execute carries a call out, unless it is for another instance or has a lower fencing token than one seen.
func (w *worker) execute(id string, o *orderBody, handle func(*orderBody) (int, map[string]any)) (int, map[string]any) {
	w.d.mutex.Lock()
	defer w.d.mutex.Unlock()
	if id != "" && id != w.id {
		return http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clockMs()}
	}
	status, extra := http.StatusConflict, map[string]any{"reason": "fence"}
	if o.FenceToken >= w.fence {
		status, extra = handle(o)
	}
	reply := map[string]any{"clock_ms": w.clockMs(), "born": w.started.UnixMilli()}
	for key, value := range extra {
		reply[key] = value
	}
	return status, reply
}

// accept takes the fencing token and the lease of a call.
func (w *worker) accept(o *orderBody) {
	w.fence = max(w.fence, o.FenceToken)
	left := min(time.Duration(o.UntilMs-w.clockMs())*time.Millisecond, maxHold)
	if until := time.Now().Add(left); o.UntilMs > 0 && until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) handleStart(o *orderBody) (int, map[string]any) {
	w.accept(o)
	status, reason := w.start(o)
	w.d.record.log("worker %s: start of %s/%d -> %d %s", w.id, o.Task, o.Run, status, reason)
	if reason != "" {
		return status, map[string]any{"reason": reason}
	}
	return status, nil
}

func (w *worker) start(o *orderBody) (status int, reason string) {
	if current := w.running[o.Task]; current != nil && current.run == o.Run {
		return http.StatusOK, ""
	} else if current != nil || o.Run <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if o.UntilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	name, number, _ := cutLast(o.Task)
	if number < 0 {
		return http.StatusBadRequest, ""
	}
	if w.d.advice.isAdvised(name) && !w.d.advice.isValid(o.Ticket, name, w) {
		return http.StatusConflict, "ticket"
	}
	r := &runRecord{task: o.Task, run: o.Run, worker: w, life: w.lives, started: time.Now(), step: w.d.stepOf(name)}
	if w.failsStarts {
		r.failsAt = r.started.Add(100 * time.Millisecond)
	}
	if r.step.Gang {
		key := fmt.Sprintf("%s/%d", name, o.Run)
		if w.d.gangs[key] == nil {
			w.d.gangs[key] = &gangState{}
		}
		r.gang = w.d.gangs[key]
		r.gang.present++
		r.gang.complete = r.gang.complete || r.gang.present == r.step.Count
	} else {
		r.working = r.started
	}
	w.running[o.Task] = r
	w.d.runs = append(w.d.runs, r)
	if w.onStart != nil {
		go w.onStart(r)
	}
	return http.StatusOK, ""
}

// cutLast splits the name of a task into that of its step and its index.
func cutLast(task string) (name string, index int, err error) {
	at := strings.LastIndex(task, ".")
	if at < 0 {
		return "", -1, fmt.Errorf("task %q", task)
	}
	index, err = strconv.Atoi(task[at+1:])
	return task[:at], index, err
}

// stepOf returns the step of the name JOB.K.STEP.
func (d *deployment) stepOf(name string) step {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return step{}
	}
	number, err := strconv.Atoi(parts[2])
	if steps := d.steps[parts[0]]; err == nil && number < len(steps) {
		return steps[number]
	}
	return step{}
}

func (w *worker) handleStop(o *orderBody) (int, map[string]any) {
	w.accept(o)
	w.d.record.log("worker %s: stop of %s/%d -> 200", w.id, o.Task, o.Run)
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, nil
}

// handleHold answers a poll. It waits, without the mutex, for an end that isn't seen.
func (w *worker) handleHold(o *orderBody) (int, map[string]any) {
	w.accept(o)
	w.polls++
	w.forget(o.LastSeen)
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.pollEnd
		w.d.mutex.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		w.d.mutex.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.run, "", r.percent(), r.step.CPU})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.run, e.run.how, e.saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// forget removes the ends up to a number.
func (w *worker) forget(through uint64) {
	for len(w.ended) > 0 && w.ended[0].number <= through {
		w.ended = w.ended[1:]
	}
}

func (r *runRecord) percent() int {
	if r.working.IsZero() || r.step.work == 0 {
		return 0
	}
	return int(min(99, 100*time.Since(r.working)/r.step.work))
}

// end ends a run and lists the end. The caller holds the mutex.
func (w *worker) end(r *runRecord, how string) {
	if r.how != "" {
		return
	}
	r.ended, r.how = time.Now(), how
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endRecord{number: w.lastEnd, run: r})
	close(w.pollEnd)
	w.pollEnd = make(chan struct{})
	w.d.record.log("worker %s: run %s/%d ends %s", w.id, r.task, r.run, how)
}

// runTasks ends the runs of all workers that are due.
func (d *deployment) runTasks() {
	for d.sleep(10 * time.Millisecond) {
		d.mutex.Lock()
		for _, w := range d.workers {
			w.endDue()
		}
		d.endGangs()
		d.mutex.Unlock()
	}
}

// endDue ends the runs of a worker that have failed, are done or have lost their lease. Runs that fail by the worker's fault
// do so on their own, whether members of a gang or not.
func (w *worker) endDue() {
	now := time.Now()
	for _, r := range w.running {
		switch {
		case now.After(w.lease):
			w.end(r, "lapsed")
		case !r.failsAt.IsZero() && now.After(r.failsAt):
			w.end(r, "failed")
		case r.gang != nil && !r.gang.complete && now.Sub(r.started) > gangTimeout:
			w.end(r, "alone")
		case r.gang != nil && r.gang.complete && r.working.IsZero():
			r.working = now
		case !r.working.IsZero() && r.step.work > 0 && now.Sub(r.working) >= r.step.work:
			w.end(r, "done")
		}
	}
}

// endGangs ends the members of gangs of which another has ended otherwise than done, but for those that fail on their own.
func (d *deployment) endGangs() {
	broken := map[*gangState]bool{}
	for _, r := range d.runs {
		if r.gang != nil && r.how != "" && r.how != "done" {
			broken[r.gang] = true
		}
	}
	for _, r := range d.runs {
		if r.gang != nil && r.how == "" && broken[r.gang] && r.failsAt.IsZero() {
			r.worker.end(r, "broken")
		}
	}
}

// sendHeartbeats announces a worker at one controller after the other until one acknowledges.
func (w *worker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.d.mutex.Lock()
		isUp := w.isUp
		w.sequence++
		body := map[string]any{
			"service": poolName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": 64000, "mem_mb": 256000, "gpu": 0}, "labels": w.labels, "machine": w.machine,
			"clock_ms": w.clockMs(), "born": w.started.UnixMilli(), "seq": w.sequence,
		}
		id := w.id
		w.d.mutex.Unlock()
		for n := 0; isUp && n < controllerCount; n++ {
			if put(client, w.d.controlURL(w.number+n, "/instances/"+id), body) == http.StatusOK {
				break
			}
		}
		select {
		case <-w.d.stopped:
			return
		case <-w.begun:
		case <-time.After(heartbeatInterval):
		}
	}
}

func put(client *http.Client, url string, body any) int {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
