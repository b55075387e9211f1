package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// runsOf returns the runs of a job, in order of their starts.
func (d *deployment) runsOf(id string) []*runRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var found []*runRecord
	for _, r := range d.runs {
		if strings.HasPrefix(r.task, id+".") {
			found = append(found, r)
		}
	}
	return found
}

// failedEnds returns the largest number of runs of one task of a job that have ended failed.
func (d *deployment) failedEnds(id string) int {
	most := map[string]int{}
	worst := 0
	for _, r := range d.runsOf(id) {
		if r.how == "failed" {
			most[r.task]++
			worst = max(worst, most[r.task])
		}
	}
	return worst
}

// setWorkers changes all workers that match, under the mutex.
func (d *deployment) setWorkers(change func(w *worker)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, w := range d.workers {
		change(w)
	}
}

// runGangCase: one worker of twelve fails all that it starts, for 6.5 s at most. A gang has two members there, both of which
// end failed in the gang's first run. The queue allows two attempts.
func runGangCase(d *deployment, trouble bool) (broken string, err error) {
	const gangSize = 24
	grey := d.workers[5]
	if trouble {
		d.setWorkers(func(w *worker) { w.failsStarts = w == grey })
		d.record.log("DISRUPTION worker %s fails all that it starts", grey.id)
	}
	id := newJobID()
	if err := d.submit("audit", id, step{Count: gangSize, CPU: 4000, MemMB: 4096, EstimateMs: 2000, Gang: true, MaxPerServer: 2, work: 2 * time.Second}); err != nil {
		return "", err
	}
	for range 60 {
		if d.failedEnds(id) > 0 || !trouble {
			break
		}
		d.sleep(100 * time.Millisecond)
	}
	d.sleep(300 * time.Millisecond)
	d.setWorkers(func(w *worker) { w.failsStarts = false })
	d.record.log("DISRUPTION over")
	state := d.awaitState("audit", id, 20*time.Second, "completed", "failed")
	attempts, starts := map[uint32]bool{}, 0
	for _, r := range d.runsOf(id) {
		starts++
		if r.how == "failed" {
			attempts[r.run] = true
		}
	}
	d.record.log("job %s: state %s, %d starts, %d runs of the gang have failed, most failed ends of one task %d", id, state, starts, len(attempts), d.failedEnds(id))
	switch {
	case starts == 0:
		return "", fmt.Errorf("nothing was started")
	case state == "failed" && len(attempts) < 2:
		return fmt.Sprintf("LOST: job %s is shown as failed after %d failed run of its gang, of 2 attempts", id, len(attempts)), nil
	case state != "completed":
		return "", fmt.Errorf("the job is %s", state)
	}
	return "", nil
}

// runCrashCase: the worker that has begun a job's only task crashes, and so does the next one. No run has ended failed.
func runCrashCase(d *deployment, trouble bool) (broken string, err error) {
	const downTime = 3 * time.Second
	id := newJobID()
	crashes := make(chan *worker, 4)
	if trouble {
		budget := 2
		d.setWorkers(func(w *worker) {
			w.onStart = func(r *runRecord) {
				d.mutex.Lock()
				mustCrash := budget > 0 && strings.HasPrefix(r.task, id+".")
				if mustCrash {
					budget--
				}
				d.mutex.Unlock()
				if !mustCrash {
					return
				}
				d.sleep(200 * time.Millisecond)
				d.record.log("DISRUPTION worker %s crashes", w.id)
				w.crash()
				crashes <- w
				d.sleep(downTime)
				if err := w.restart(); err != nil {
					d.record.log("worker %s can't restart: %v", w.id, err)
				}
			}
		})
	}
	if err := d.submit("ledger", id, step{Count: 1, CPU: 4000, MemMB: 4096, EstimateMs: 3000, work: 3 * time.Second}); err != nil {
		return "", err
	}
	state := d.awaitState("ledger", id, 45*time.Second, "completed", "failed")
	failed := d.failedEnds(id)
	d.record.log("job %s: state %s, %d starts, %d failed ends, %d crashes", id, state, len(d.runsOf(id)), failed, len(crashes))
	switch {
	case state == "failed" && failed < 3:
		return fmt.Sprintf("LOST: job %s is shown as failed after %d ends failed, of 3 attempts", id, failed), nil
	case state != "completed":
		return "", fmt.Errorf("the job is %s", state)
	case trouble && len(crashes) < 2:
		return "", fmt.Errorf("only %d crashes", len(crashes))
	}
	return "", nil
}

// runAdviceCase: the policy of a queue allows one worker, which crashes and starts again under its id while it runs a job of
// that queue. The job's turn has come and there is capacity, but nothing is started again.
func runAdviceCase(d *deployment, trouble bool) (broken string, err error) {
	const downTime = 2 * time.Second
	allowed := d.workers[3]
	id := newJobID()
	d.mutex.Lock()
	d.advice.advised[id], d.advice.allowed[allowed.id] = true, true
	d.mutex.Unlock()
	s := step{Count: 4, CPU: 4000, MemMB: 4096, EstimateMs: 3000, work: 3 * time.Second}
	if err := d.submit("audit", id, s); err != nil {
		return "", err
	}
	for range 100 {
		if len(d.runsOf(id)) == s.Count {
			break
		}
		d.sleep(100 * time.Millisecond)
	}
	if len(d.runsOf(id)) < s.Count {
		return "", fmt.Errorf("the job wasn't started")
	}
	if trouble {
		d.sleep(50 * time.Millisecond)
		d.record.log("DISRUPTION worker %s crashes for %v", allowed.id, downTime)
		allowed.crash()
		d.sleep(downTime)
		if err := allowed.restart(); err != nil {
			return "", err
		}
	}
	d.record.log("end of the traffic; the job is asked for %v later", finishTime)
	for end := time.Now().Add(finishTime); time.Now().Before(end) && d.sleep(time.Second); {
		if d.state("audit", id) == "completed" {
			return "", nil
		}
	}
	idle := time.Now()
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); d.sleep(50 * time.Millisecond) {
		if d.isRunning(id) {
			idle = time.Now()
		}
		if time.Since(idle) > 3*time.Second {
			state := d.state("audit", id)
			return fmt.Sprintf("LOST: job %s is %s and has had nothing running for %.1f s, %v after the end of the traffic; its worker is idle", id, state, time.Since(idle).Seconds(), finishTime), nil
		}
	}
	return "", nil
}

// isRunning reports whether a run of a job is in progress.
func (d *deployment) isRunning(id string) bool {
	return slices.ContainsFunc(d.runsOf(id), func(r *runRecord) bool { return r.how == "" })
}

// runUpkeepCase: a wave of upkeep may take down one machine at a time. The first order gets no answer and is carried out
// 2 to 12 s later, and the controller that gave it is killed and starts again. Its successor begins with another machine.
func runUpkeepCase(d *deployment, trouble bool) (broken string, err error) {
	var machines []string
	for _, w := range d.workers {
		machines = append(machines, w.machine)
	}
	stopTraffic := make(chan struct{})
	d.background.Go(func() { d.keepBusy(stopTraffic) })
	defer close(stopTraffic)
	d.sleep(6 * time.Second)
	held := make(chan *upkeepOrder, 1)
	if trouble {
		d.mutex.Lock()
		d.platform.holdNext = func(o *upkeepOrder) bool {
			held <- o
			return true
		}
		d.mutex.Unlock()
	}
	if err := d.startWave(machines, 1); err != nil {
		return "", err
	}
	if trouble {
		select {
		case o := <-held:
			d.background.Go(func() { d.carryOutLate(o) })
			d.killHolder(o.holder)
		case <-time.After(20 * time.Second):
			return "", fmt.Errorf("no upkeep was ordered")
		}
	}
	if !d.awaitWave(75 * time.Second) {
		return "", fmt.Errorf("the wave isn't completed")
	}
	d.sleep(time.Second)
	d.mutex.Lock()
	worst := d.platform.worst
	d.mutex.Unlock()
	d.record.log("at most %d other machines were down when an upkeep began", worst)
	if worst > 0 {
		return fmt.Sprintf("LIMIT: an upkeep began while %d machine of the wave was down for its own; max_count is 1", worst), nil
	}
	return "", nil
}
