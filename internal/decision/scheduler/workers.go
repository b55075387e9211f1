package scheduler

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/interference"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/resource"
)

// worker is the scheduler's view of one worker.
type worker struct {
	name        string
	zone        string
	id          placement.ID // placement.None until WorkerChanged is called
	incarnation uint64
	lost        bool
	blocked     bool // excluded from placement; see updateBlocked
	underReview bool // in Scheduler.underReview
	exempt      bool // runs a service task that is exempt from mitigation; see chooseExempt
	tasks       []*task
	charged     resource.Vector // sum of the charges of its tasks, as the state machine counts them
	stopping    resource.Vector // planned sizes of the tasks that are being stopped
	claimed     resource.Vector // resources claimed by waiting tasks; see claimOn
	history     interference.History

	interference   []serviceInterference // cached interference with the services on this worker, by kind of service
	interferenceAt time.Time             // time at which interference was computed; zero when it is stale
}

// WorkerChanged records a worker. The tasks that TaskChanged assigned to the worker stay assigned when the worker is lost or
// has a new incarnation.
func (s *Scheduler) WorkerChanged(record *controlpb.WorkerRecord, zone, rack string) {
	w := s.ensureWorker(record.Name)
	id := s.planner.SetWorker(record.Name, zone, rack, record.Capacity.Vector())
	w.zone = zone
	if w.id == placement.None {
		w.id = id
		s.byID = append(s.byID, w)
		for _, t := range w.tasks {
			s.planner.Charge(id, &t.planned)
		}
	}
	if w.incarnation != record.Incarnation {
		w.incarnation = record.Incarnation
		s.health.RemoveWorker(w.name)
	}
	w.lost = record.Lost
	s.updateBlocked(w)
	s.verdictsStale = true
	s.dirty = true
}

// WorkerRemoved records that a worker is no longer in the inventory. Tasks that still run on it stay counted.
func (s *Scheduler) WorkerRemoved(name string) {
	w := s.workers[name]
	if w == nil || w.id == placement.None {
		return
	}
	w.lost = true
	s.planner.RemoveWorker(w.id)
	s.verdictsStale = true
}

// ensureWorker returns the worker of that name, and creates it when it is unknown.
func (s *Scheduler) ensureWorker(name string) *worker {
	w, ok := s.workers[name]
	if !ok {
		w = &worker{name: name, id: placement.None}
		s.workers[name] = w
	}
	return w
}

// startReview puts a worker under review until it is neither in quarantine nor on probation.
func (s *Scheduler) startReview(w *worker) {
	if !w.underReview {
		w.underReview = true
		s.underReview = append(s.underReview, w)
	}
	s.updateBlocked(w)
}

// reviewWorkers updates the workers under review and ends the review of those whose quarantine and probation are over.
func (s *Scheduler) reviewWorkers() {
	kept := s.underReview[:0]
	for _, w := range s.underReview {
		s.updateBlocked(w)
		w.underReview = w.blocked || s.health.OnProbation(w.name)
		if w.underReview {
			kept = append(kept, w)
		}
	}
	s.underReview = kept
}

// updateBlocked excludes a worker from placement while it is lost or in quarantine, and while it is on probation and already
// has a probe task.
func (s *Scheduler) updateBlocked(w *worker) {
	if w.id == placement.None {
		return
	}
	blocked := w.lost || s.health.Quarantined(s.now, w.name)
	if !blocked && s.health.OnProbation(w.name) {
		blocked = s.hasProbeTask(w)
	}
	if blocked != w.blocked {
		w.blocked = blocked
		s.planner.Block(w.id, blocked)
		s.dirty = true
	}
}

// hasProbeTask reports whether a worker on probation has a task that started after the quarantine.
func (s *Scheduler) hasProbeTask(w *worker) bool {
	released := s.health.ReleasedAt(w.name)
	for _, t := range w.tasks {
		if t.pendingStart || t.since.After(released) {
			return true
		}
	}
	return false
}
