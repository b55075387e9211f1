package controlstate

import (
	"cmp"
	"slices"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// Worker is a registered worker. A Worker that State has returned is immutable.
type Worker struct {
	Name        string
	Incarnation uint64
	Capacity    resource.Vector // as registered
	Limit       resource.Vector // component-wise minimum of Capacity and the inventory's capacity
	Used        resource.Vector // sum of the charges of its tasks
	Tasks       int
	Lost        bool
	Listed      bool // the inventory lists it
	Zone        string
	Rack        string
}

// Record returns the snapshot record of the worker.
func (w *Worker) Record() *controlpb.WorkerRecord {
	return &controlpb.WorkerRecord{Name: w.Name, Incarnation: w.Incarnation, Capacity: resources(w.Capacity), Lost: w.Lost}
}

// Worker returns the worker, or nil. The result is immutable.
func (s *State) Worker(name string) *Worker {
	s.workerKey.Name = name
	w, _ := s.workers.Get(&s.workerKey)
	return w
}

// registerWorker adds a worker or a new incarnation of it. A worker chooses a new incarnation, larger than any earlier
// one, only when it runs no tasks, so tasks of earlier incarnations have certainly ended.
func (s *State) registerWorker(c *controlpb.RegisterWorker) *controlpb.Result {
	capacity := c.GetCapacity().Vector()
	if err := capacity.Validate(); err != nil {
		return invalid(ReasonCapacityExceeded, "%v", err)
	}
	listed := s.config.workers[c.GetWorker()]
	if listed == nil {
		return rejected(ReasonNotInInventory, "worker %q", c.GetWorker())
	}
	if !capacity.Fits(listed.Capacity) {
		return rejected(ReasonCapacityExceeded, "%s has %v; the inventory lists %v", c.GetWorker(), capacity, listed.Capacity)
	}
	old := s.Worker(c.GetWorker())
	if old != nil {
		switch {
		case c.GetIncarnation() < old.Incarnation:
			return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", old.Name, old.Incarnation)
		case c.GetIncarnation() == old.Incarnation && old.Lost:
			return rejected(ReasonWorkerLost, "%s: its tasks run elsewhere; expected a new incarnation", old.Name)
		case c.GetIncarnation() == old.Incarnation && capacity != old.Capacity:
			return rejected(ReasonCapacityChanged, "%s: expected a new incarnation", old.Name)
		case c.GetIncarnation() == old.Incarnation:
			return &controlpb.Result{}
		}
		s.detachTasks(old.Name)
	}
	w := &Worker{Name: c.GetWorker(), Incarnation: c.GetIncarnation(), Capacity: capacity}
	s.applyInventory(w)
	s.putWorker(w)
	return &controlpb.Result{}
}

// workerLost marks a worker lost and detaches its tasks. The proposer guarantees that the worker's lease has expired.
func (s *State) workerLost(c *controlpb.WorkerLost) *controlpb.Result {
	w := s.Worker(c.GetWorker())
	switch {
	case w == nil:
		return notFound(ReasonUnknownWorker, "%q", c.GetWorker())
	case w.Incarnation != c.GetIncarnation():
		return rejected(ReasonStaleIncarnation, "%s is at incarnation %d", w.Name, w.Incarnation)
	case w.Lost:
		return &controlpb.Result{}
	}
	s.detachTasks(w.Name)
	if w = s.Worker(w.Name); w == nil { // removed together with its last task, because the inventory does not list it
		return &controlpb.Result{}
	}
	next := *w
	next.Lost = true
	s.putWorker(&next)
	return &controlpb.Result{}
}

// detachTasks releases all tasks of a worker on which nothing runs any more.
func (s *State) detachTasks(worker string) {
	for _, t := range s.sortedTasksOn(worker) {
		next := *t
		s.release(&next)
		if next.Reason == controlpb.StopReason_STOP_REASON_NONE {
			next.Reason, next.Why = controlpb.StopReason_EVICT_WORKER_LOST, "worker "+worker+" lost"
		}
		s.putUnplaced(&next, controlpb.TaskState_WAITING)
	}
}

func (s *State) sortedTasksOn(worker string) []*Task {
	tasks := make([]*Task, 0, len(s.tasksByWorker[worker]))
	s.TasksOn(worker, func(t *Task) { tasks = append(tasks, t) })
	slices.SortFunc(tasks, func(a, b *Task) int {
		if a.ID.less(b.ID) {
			return -1
		}
		return 1
	})
	return tasks
}

// applyInventory sets the zone, rack and limit of a worker from the inventory.
func (s *State) applyInventory(w *Worker) {
	listed := s.config.workers[w.Name]
	w.Listed = listed != nil
	if w.Listed {
		w.Zone, w.Rack = listed.Zone, listed.Rack
		w.Limit = componentMin(w.Capacity, listed.Capacity)
	}
}

// updateWorkers applies a new inventory to all workers and evicts tasks that no longer fit the limit of their worker.
func (s *State) updateWorkers() {
	var changed []*Worker
	s.workers.Ascend(func(w *Worker) bool {
		next := *w
		s.applyInventory(&next)
		if next != *w {
			changed = append(changed, &next)
		}
		return true
	})
	for _, w := range changed {
		s.putWorker(w)
		s.evictExcess(w)
	}
}

// evictExcess evicts tasks until those that are not stopping fit the limit: batch before latency-critical, and the latest
// started first.
func (s *State) evictExcess(w *Worker) {
	var remaining []*Task
	var used resource.Vector
	s.TasksOn(w.Name, func(t *Task) {
		if t.State != controlpb.TaskState_STOPPING {
			remaining = append(remaining, t)
			used = used.Add(t.Charge)
		}
	})
	if used.Fits(w.Limit) {
		return
	}
	slices.SortFunc(remaining, func(a, b *Task) int {
		if c := int(s.class(a)) - int(s.class(b)); c != 0 {
			return c
		}
		return cmp.Compare(b.Fence, a.Fence)
	})
	for _, t := range remaining {
		if used.Fits(w.Limit) {
			return
		}
		used = used.Sub(t.Charge)
		s.evictTask(t, controlpb.StopReason_EVICT_PREEMPTED, "the inventory lowered the capacity of "+w.Name)
	}
}

func (s *State) class(t *Task) controlpb.Class { return s.Job(t.ID.Job).Spec.GetClass() }

// evictMisplaced evicts the tasks of workers that the inventory does not list or whose zone is out of service. If
// zonesChanged is set, it also evicts tasks that are no longer permitted in the zone of their worker.
func (s *State) evictMisplaced(zonesChanged bool) {
	var workers []*Worker
	s.workers.Ascend(func(w *Worker) bool {
		if w.Tasks > 0 && (zonesChanged || s.unschedulable(w)) {
			workers = append(workers, w)
		}
		return true
	})
	for _, w := range workers {
		for _, t := range s.sortedTasksOn(w.Name) {
			if s.unschedulable(w) || !s.permitted(s.Job(t.ID.Job).Spec, w.Zone) {
				s.evictTask(t, controlpb.StopReason_EVICT_ZONE_OUT, "zone "+w.Zone+" of "+w.Name)
			}
		}
	}
}

// unschedulable reports whether the worker is not listed or its zone is out of service, so that no task may run on it.
func (s *State) unschedulable(w *Worker) bool { return !w.Listed || s.zones[w.Zone].Out }

// putWorker stores a worker, or removes it if the inventory does not list it and it has no tasks.
func (s *State) putWorker(w *Worker) {
	if !w.Listed && w.Tasks == 0 {
		s.workers.Delete(w)
	} else {
		s.workers.ReplaceOrInsert(w)
	}
	s.views.workersChanged()
	s.changes.workers.add(w.Name)
}
