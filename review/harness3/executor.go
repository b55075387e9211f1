package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of executors, as in the settings of the processes.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6000 * time.Millisecond
	executorPort      = 8080
)

// executor is a stand-in that runs tasks as the users' pages say. A task works for the milliseconds that its spec names.
type executor struct {
	cluster  *cluster
	id, ip   string
	machine  string
	labels   []string
	capacity map[string]int

	mutex sync.Mutex
	life  *life // nil while it is down
}

// life is one incarnation of an executor.
type life struct {
	executor *executor
	born     time.Time
	server   *http.Server
	cancel   context.CancelFunc

	mutex    sync.Mutex
	seq      int
	fence    uint64
	until    time.Duration // end of the lease on its clock
	runs     map[string]*taskRun
	highest  map[string]uint32 // highest run that was stopped or has ended, by task
	ended    []endedRun
	lastEnd  uint64
	endAdded chan struct{} // closed and replaced at each end
	over     bool
}

type taskRun struct {
	number uint32
	began  time.Time
	work   time.Duration
}

type endedRun struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// orderBody holds the fields of all orders.
type orderBody struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

func newExecutor(c *cluster, n int, kind string) *executor {
	return &executor{
		cluster: c, id: fmt.Sprintf("i-%d", n), ip: c.address(43, n), machine: fmt.Sprintf("m-%d", n),
		labels: []string{kind, fmt.Sprintf("r-%d", n%3)}, capacity: map[string]int{"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
	}
}

func (e *executor) address() string { return fmt.Sprintf("%s:%d", e.ip, executorPort) }

// up starts an incarnation.
func (e *executor) up() error {
	listener, err := net.Listen("tcp", e.address())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{executor: e, born: time.Now(), cancel: cancel, runs: map[string]*taskRun{}, highest: map[string]uint32{}, endAdded: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.handle(l.start))
	mux.HandleFunc("POST /run-stop", l.handle(l.stop))
	mux.HandleFunc("POST /hold", l.handle(l.hold))
	mux.HandleFunc("POST /pace", l.handle(func(*orderBody) (int, map[string]any) { return http.StatusOK, l.reply() }))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: mux}
	e.mutex.Lock()
	e.life = l
	e.mutex.Unlock()
	e.cluster.record.add("executor %s: up, born %d", e.id, l.born.UnixMilli())
	go func() { _ = l.server.Serve(listener) }()
	go l.announce(ctx)
	go l.work(ctx)
	return nil
}

// down crashes the incarnation: what it runs is gone, and it sends nothing.
func (e *executor) down() {
	e.mutex.Lock()
	l := e.life
	e.life = nil
	e.mutex.Unlock()
	if l == nil {
		return
	}
	l.cancel()
	l.mutex.Lock()
	l.over = true
	running := make([]string, 0, len(l.runs))
	for task, r := range l.runs {
		running = append(running, fmt.Sprintf("%s/%d after %s", task, r.number, time.Since(r.began).Round(time.Millisecond)))
	}
	l.mutex.Unlock()
	_ = l.server.Close()
	e.cluster.record.add("executor %s: crashes, with it run %v", e.id, running)
}

func (l *life) clock() time.Duration { return 10*time.Second + time.Since(l.born) }

// announce sends heartbeats, the first one at once.
func (l *life) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	controllers := l.executor.cluster.controllers
	for n := 0; ctx.Err() == nil; n++ {
		if !l.heartbeat(ctx, client, controllers[n%len(controllers)].ip) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (l *life) heartbeat(ctx context.Context, client *http.Client, controller string) bool {
	e := l.executor
	l.mutex.Lock()
	l.seq++
	body, _ := json.Marshal(map[string]any{
		"service": "waiverdesk", "address": e.address(), "zone": "swakop", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": e.capacity, "labels": e.labels, "machine": e.machine, "clock_ms": l.clock().Milliseconds(), "seq": l.seq, "born": l.born.UnixMilli(),
	})
	l.mutex.Unlock()
	url := fmt.Sprintf("http://%s:%d/instances/%s", controller, controlPort, e.id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}

// work ends runs that are done, and all of them when the lease has expired.
func (l *life) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		l.mutex.Lock()
		for task, r := range l.runs {
			switch {
			case l.clock() > l.until:
				l.end(task, r, "lapsed")
			case time.Since(r.began) >= r.work:
				l.end(task, r, "done")
			}
		}
		l.mutex.Unlock()
	}
}

// end lists the end of a run. The caller holds the mutex.
func (l *life) end(task string, r *taskRun, how string) {
	delete(l.runs, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, endedRun{l.lastEnd, task, r.number, how})
	close(l.endAdded)
	l.endAdded = make(chan struct{})
	l.executor.cluster.record.add("executor %s: run %s/%d ends %s", l.executor.id, task, r.number, how)
}

// handle decodes an order, and rejects those for other incarnations and with a lower fencing token.
func (l *life) handle(carryOut func(*orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order := &orderBody{}
		if json.NewDecoder(r.Body).Decode(order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.executor.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		l.mutex.Lock()
		status, reply := http.StatusConflict, map[string]any(nil)
		switch {
		case l.over:
			l.mutex.Unlock()
			return
		case order.FenceToken < l.fence:
			reply = l.refuse("fence")
		default:
			l.fence = order.FenceToken
			status, reply = carryOut(order)
		}
		l.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (l *life) reply() map[string]any {
	return map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.born.UnixMilli()}
}

func (l *life) refuse(reason string) map[string]any {
	reply := l.reply()
	reply["reason"] = reason
	return reply
}

// extend extends the lease, at most to the longest one from now.
func (l *life) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, l.clock()+maxHold)
	l.until = max(l.until, until)
}

func (l *life) start(order *orderBody) (int, map[string]any) {
	if r := l.runs[order.Task]; r != nil && r.number == order.Run {
		return http.StatusOK, l.reply()
	}
	switch {
	case order.Run <= l.highest[order.Task] || l.runs[order.Task] != nil:
		l.extend(order.UntilMs)
		return http.StatusConflict, l.refuse("old")
	case order.UntilMs <= l.clock().Milliseconds():
		return http.StatusConflict, l.refuse("late")
	}
	work, err := strconv.Atoi(strings.TrimSpace(order.Spec))
	if err != nil || len(order.Spec) > maxSpecBytes {
		l.executor.cluster.record.add("executor %s: run %s/%d is refused with 400: a spec of %d bytes", l.executor.id, order.Task, order.Run, len(order.Spec))
		return http.StatusBadRequest, l.reply()
	}
	l.extend(order.UntilMs)
	l.runs[order.Task] = &taskRun{number: order.Run, began: time.Now(), work: time.Duration(work) * time.Millisecond}
	l.executor.cluster.noteStart(order.Task)
	l.executor.cluster.record.add("executor %s: run %s/%d starts", l.executor.id, order.Task, order.Run)
	return http.StatusOK, l.reply()
}

func (l *life) stop(order *orderBody) (int, map[string]any) {
	l.highest[order.Task] = max(l.highest[order.Task], order.Run)
	if r := l.runs[order.Task]; r != nil && r.number <= order.Run {
		l.end(order.Task, r, "stopped")
	}
	return http.StatusOK, l.reply()
}

// hold returns the lists of runs. The response waits for an end if that is asked for and none is listed.
func (l *life) hold(order *orderBody) (int, map[string]any) {
	if order.UntilMs > 0 {
		l.extend(order.UntilMs)
	}
	for len(l.ended) > 0 && l.ended[0].number <= order.LastSeen {
		e := l.ended[0]
		l.executor.cluster.record.add("executor %s: last_seen %d takes note of the end of run %s/%d", l.executor.id, order.LastSeen, e.task, e.run)
		l.ended = l.ended[1:]
	}
	if added := l.endAdded; order.WaitMs > 0 && len(l.ended) == 0 {
		l.mutex.Unlock()
		select {
		case <-added:
		case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
		}
		l.mutex.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range l.runs {
		running = append(running, []any{task, r.number, "", int(100 * time.Since(r.began) / r.work), 1000})
	}
	for _, e := range l.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply := l.reply()
	reply["running"], reply["ended"] = running, ended
	return http.StatusOK, reply
}
