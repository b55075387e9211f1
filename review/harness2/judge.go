package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// taskSpec is what a client has asked for of the tasks of a step.
type taskSpec struct {
	count  int
	cpu    int64
	mem    int64
	after  []int
	work   time.Duration
	gang   bool
	lasts  bool
	saves  bool
	fails  bool
	target int64
	fills  bool // its cpu isn't counted against the capacity

	ticketed bool // its queue has a hint
}

// taskState is what executors have seen of a task.
type taskState struct {
	on       map[string]int // executors on which it runs, with the run
	starts   int
	failed   int
	done     bool
	doneSeen time.Time // when a done end was taken note of
	lastEnd  time.Time
}

// jobState is what clients and executors have seen of a job.
type jobState struct {
	id        string
	spec      string
	steps     []taskSpec
	repeats   int
	startAt   time.Time
	period    time.Duration
	accepted  time.Time
	cancelled time.Time
	tasks     map[string]*taskState
	shown     string
	prefix    string // of its queue; empty for the usual one
}

// path returns the path of the job.
func (job *jobState) path() string {
	if job.prefix == "" {
		return prefix + job.id
	}
	return job.prefix + job.id
}

// judge checks the rules on what clients and executors see.
type judge struct {
	mutex   sync.Mutex
	record  *record
	jobs    map[string]*jobState
	zoneOut map[string]time.Time // from when on no task may start in a zone
	starts  []time.Time
	alone   []time.Time // ends of runs that waited for the other members of a gang
	onStart func(e *executor, task string, run int)
}

func newJudge(r *record) *judge {
	return &judge{record: r, jobs: map[string]*jobState{}, zoneOut: map[string]time.Time{}}
}

func (j *judge) addJob(job *jobState) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	job.tasks = map[string]*taskState{}
	j.jobs[job.id] = job
}

// evacuated notes that an evacuation is in force, and from when on starts in the zone break the rule.
func (j *judge) evacuated(zone string, from time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.zoneOut[zone] = from
}

// startsSince returns the number of starts since a time.
func (j *judge) startsSince(since time.Time) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	count := 0
	for _, at := range j.starts {
		if at.After(since) {
			count++
		}
	}
	return count
}

// countTasks returns how many tasks of a job are done and how many run.
func (j *judge) countTasks(job *jobState) (done, running int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, t := range job.tasks {
		if t.done {
			done++
		}
		running += len(t.on)
	}
	return done, running
}

// started checks the start of a run and returns what the task is, or nil if it isn't known. The fleet is locked.
func (j *judge) started(e *executor, o *orderBody) *taskSpec {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record.add("executor", "start", o.Task, fmt.Sprintf("run %d on %s in %s saved %q", o.Run, e.id, e.zone, o.Saved))
	id, rest, _ := strings.Cut(o.Task, ".")
	job := j.jobs[id]
	if job == nil || job.spec != o.Spec {
		j.record.broken("UNASKED", o.Task+" was started, which no client has sent")
		return nil
	}
	var occurrence, step, index int
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil || step >= len(job.steps) {
		j.record.broken("UNASKED", o.Task+" was started, which no client has sent")
		return nil
	}
	spec := &job.steps[step]
	t := job.tasks[o.Task]
	if t == nil {
		t = &taskState{on: map[string]int{}}
		job.tasks[o.Task] = t
	}
	for other := range t.on {
		j.record.broken("TWICE", fmt.Sprintf("%s run %d starts on %s while the task runs on %s", o.Task, o.Run, e.id, other))
	}
	if !t.doneSeen.IsZero() {
		j.record.broken("TWICE", fmt.Sprintf("%s run %d starts on %s after an end 'done' was taken note of", o.Task, o.Run, e.id))
	}
	if from, out := j.zoneOut[e.zone]; out && time.Now().After(from) {
		j.record.broken("EVAC", fmt.Sprintf("%s run %d starts on %s in %s, %.1f s after the last moment allowed", o.Task, o.Run, e.id, e.zone, time.Since(from).Seconds()))
	}
	j.starts = append(j.starts, time.Now())
	j.checkOrder(job, occurrence, step, o)
	j.checkRoom(e, spec, o)
	t.on[e.id] = o.Run
	t.starts++
	if j.onStart != nil {
		j.onStart(e, o.Task, o.Run)
	}
	return spec
}

// ended notes the end of a run. The fleet is locked.
func (j *judge) ended(e *executor, task string, run int, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record.add("executor", how, task, fmt.Sprintf("run %d on %s", run, e.id))
	if how == "alone" {
		j.alone = append(j.alone, time.Now())
	}
	id, _, _ := strings.Cut(task, ".")
	t := j.jobs[id].tasks[task]
	delete(t.on, e.id)
	t.lastEnd = time.Now()
	switch how {
	case "done":
		t.done = true
	case "failed":
		t.failed++
	}
}

// noted notes that the system has taken note of an end.
func (j *judge) noted(_ *executor, end endedRun) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	id, _, _ := strings.Cut(end.task, ".")
	if end.how == "done" {
		j.jobs[id].tasks[end.task].doneSeen = time.Now()
	}
}

// checkOrder checks that a start isn't before its turn.
func (j *judge) checkOrder(job *jobState, occurrence, step int, o *orderBody) {
	if job.repeats > 0 {
		due := job.startAt.Add(time.Duration(occurrence) * job.period)
		if early := time.Until(due); early > 250*time.Millisecond {
			j.record.broken("ORDER", fmt.Sprintf("%s starts %v early", o.Task, early))
		}
	}
	for _, before := range job.steps[step].after {
		for index := range job.steps[before].count {
			name := fmt.Sprintf("%s.%d.%d.%d", job.id, occurrence, before, index)
			t := job.tasks[name]
			if !job.steps[before].gang && (t == nil || !t.done) {
				j.record.broken("ORDER", fmt.Sprintf("%s starts before %s is done", o.Task, name))
			}
		}
	}
	if !job.cancelled.IsZero() && time.Since(job.cancelled) > 3*time.Second {
		j.record.broken("UNASKED", o.Task+" starts after its job was cancelled")
	}
}

// reserved returns the cpu that counts against the capacity of an executor.
func (t *taskSpec) reserved() int64 {
	if t.fills {
		return 0
	}
	return t.cpu
}

// checkRoom checks that an executor holds what it is told to start.
func (j *judge) checkRoom(e *executor, spec *taskSpec, o *orderBody) {
	cpu, mem := spec.reserved(), spec.mem
	for _, r := range e.runs {
		cpu += r.spec.reserved()
		mem += r.spec.mem
	}
	if cpu > e.cpu || mem > e.memory {
		j.record.broken("LIMIT", fmt.Sprintf("%s run %d brings %s to %d of %d cpu, %d of %d MB", o.Task, o.Run, e.id, cpu, e.cpu, mem, e.memory))
	}
}
