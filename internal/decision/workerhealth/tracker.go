// Package workerhealth distinguishes faulty workers, on which different jobs fail, from faulty jobs, which fail on different
// workers. A worker on which several jobs fail without a success in between is quarantined, with exponential backoff; a job
// that fails on several workers is rated faulty. Each failure counts against both. A quarantine attributes the failures on
// that worker to the worker, so they no longer count against the jobs, and a job that was rated faulty only because of them
// becomes eligible again.
package workerhealth

import "time"

const (
	// FailureThreshold is the number of different jobs whose failures quarantine a worker, and of different workers whose
	// failures make a job faulty.
	FailureThreshold = 3
	// MaxFailedWorkers is the number of workers after which a job is rated faulty even if other jobs failed there too.
	MaxFailedWorkers = 6
	// MinQuarantine is the initial duration of a quarantine, which doubles with each quarantine that wasn't followed by
	// a success, up to MaxQuarantine.
	MinQuarantine = 30 * time.Second
	// MaxQuarantine bounds how long a repaired worker stays unused.
	MaxQuarantine = 15 * time.Minute
)

type worker struct {
	failedJobs    []string // different jobs that failed since the last success, at most FailureThreshold
	quarantineEnd time.Time
	backoffLevel  uint
	quarantined   bool
	probation     bool // released from quarantine without a success since
}

type job struct {
	failedWorkers []string // different workers on which it failed since the last success, at most MaxFailedWorkers
	faulty        bool
}

// Tracker holds the recent failures of workers and jobs. It is not safe for concurrent use.
type Tracker struct {
	workers map[string]*worker
	jobs    map[string]*job
}

// New returns a tracker without failures.
func New() *Tracker { return &Tracker{workers: map[string]*worker{}, jobs: map[string]*job{}} }

// RecordFailure records that a task of a job failed on a worker.
func (t *Tracker) RecordFailure(now time.Time, workerName, jobName string) {
	w, j := t.worker(workerName), t.job(jobName)
	if j.faulty || w.quarantined {
		return // already attributed to the job or the worker
	}
	if w.probation {
		t.quarantine(now, workerName, w)
		return
	}
	w.failedJobs = addDistinct(w.failedJobs, jobName, FailureThreshold)
	j.failedWorkers = addDistinct(j.failedWorkers, workerName, MaxFailedWorkers)
	if len(w.failedJobs) >= FailureThreshold {
		t.quarantine(now, workerName, w)
		return
	}
	// A worker on which other jobs failed too since its last success may be the cause, so its failures count only towards
	// MaxFailedWorkers.
	healthy := 0
	for _, name := range j.failedWorkers {
		if len(t.worker(name).failedJobs) <= 1 {
			healthy++
		}
	}
	j.faulty = healthy >= FailureThreshold || len(j.failedWorkers) >= MaxFailedWorkers
}

// RecordSuccess records that a task of a job finished on a worker.
func (t *Tracker) RecordSuccess(workerName, jobName string) {
	w, j := t.worker(workerName), t.job(jobName)
	w.failedJobs, w.probation, w.backoffLevel = w.failedJobs[:0], false, 0
	j.faulty, j.failedWorkers = false, nil
}

// Quarantined reports whether a worker must not get new tasks. A worker whose quarantine has expired is put on probation.
func (t *Tracker) Quarantined(now time.Time, workerName string) bool {
	w, ok := t.workers[workerName]
	if !ok || !w.quarantined {
		return false
	}
	if now.Before(w.quarantineEnd) {
		return true
	}
	w.quarantined, w.probation = false, true
	return false
}

// OnProbation reports whether a worker was released from quarantine and has had no success since. It should get one task at a
// time, because its next failure quarantines it again.
func (t *Tracker) OnProbation(workerName string) bool {
	w, ok := t.workers[workerName]
	return ok && w.probation
}

// ReleasedAt returns the end of a worker's latest quarantine, or the zero time if it has had none. The end is in the future
// while the worker is quarantined.
func (t *Tracker) ReleasedAt(workerName string) time.Time {
	if w, ok := t.workers[workerName]; ok {
		return w.quarantineEnd
	}
	return time.Time{}
}

// QuarantineEnd returns the end of a worker's quarantine, or the zero time if it isn't quarantined.
func (t *Tracker) QuarantineEnd(workerName string) time.Time {
	if w, ok := t.workers[workerName]; ok && w.quarantined {
		return w.quarantineEnd
	}
	return time.Time{}
}

// FailsEverywhere reports whether a job is faulty: it failed on FailureThreshold workers on which no other job failed, or on
// MaxFailedWorkers workers.
func (t *Tracker) FailsEverywhere(jobName string) bool {
	j, ok := t.jobs[jobName]
	return ok && j.faulty
}

// FailedOn returns the workers on which a job failed, at most MaxFailedWorkers. The result must not be changed.
func (t *Tracker) FailedOn(jobName string) []string {
	if j, ok := t.jobs[jobName]; ok {
		return j.failedWorkers
	}
	return nil
}

// RemoveJob removes the failures of a job.
func (t *Tracker) RemoveJob(jobName string) { delete(t.jobs, jobName) }

// RemoveWorker removes the failures and the quarantine of a worker, for example because it has a new incarnation.
func (t *Tracker) RemoveWorker(workerName string) { delete(t.workers, workerName) }

// quarantine quarantines a worker and removes the failures on it from all jobs.
func (t *Tracker) quarantine(now time.Time, name string, w *worker) {
	duration := min(MinQuarantine<<min(w.backoffLevel, 10), MaxQuarantine)
	w.quarantineEnd, w.quarantined, w.probation = now.Add(duration), true, false
	w.backoffLevel++
	w.failedJobs = w.failedJobs[:0]
	for _, j := range t.jobs {
		j.failedWorkers = remove(j.failedWorkers, name)
		j.faulty = j.faulty && len(j.failedWorkers) >= FailureThreshold
	}
}

func (t *Tracker) worker(name string) *worker {
	w, ok := t.workers[name]
	if !ok {
		w = &worker{}
		t.workers[name] = w
	}
	return w
}

func (t *Tracker) job(name string) *job {
	j, ok := t.jobs[name]
	if !ok {
		j = &job{}
		t.jobs[name] = j
	}
	return j
}

func addDistinct(list []string, name string, limit int) []string {
	for _, other := range list {
		if other == name {
			return list
		}
	}
	if len(list) >= limit {
		return list
	}
	return append(list, name)
}

func remove(list []string, name string) []string {
	for i, other := range list {
		if other == name {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
