package controlstate

import (
	"maps"

	"github.com/google/btree"

	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

// View is an immutable snapshot of the state for call routing, status and explain. It is safe for concurrent use.
// Successive views share the parts that did not change.
type View struct {
	Index     uint64 // of the last command applied when the view was built
	Version   uint64 // of the configuration
	Inventory *inventory.Inventory
	Rules     *rules.Rules
	ZonesOut  []string // sorted
	// Services holds the endpoints of each service, sorted by name. An endpoint that is gone is listed with zero slots as
	// long as a gateway holds slots of it. Neither the map nor the slices may be modified.
	Services map[string][]*Endpoint

	jobs    *btree.BTreeG[*Job]
	tasks   *btree.BTreeG[*Task]
	workers *btree.BTreeG[*Worker]
	zoneOut map[string]bool
}

// IsZoneOut reports whether the zone is out of service.
func (v *View) IsZoneOut(zone string) bool { return v.zoneOut[zone] }

// Job returns the job, or nil.
func (v *View) Job(name string) *Job {
	j, _ := v.jobs.Get(newJobKey(name))
	return j
}

// Task returns the task, or nil.
func (v *View) Task(id TaskID) *Task {
	t, _ := v.tasks.Get(&Task{ID: id})
	return t
}

// Worker returns the worker, or nil.
func (v *View) Worker(name string) *Worker {
	w, _ := v.workers.Get(&Worker{Name: name})
	return w
}

// Jobs calls f for each job in the order of names, until f returns false.
func (v *View) Jobs(f func(*Job) bool) { v.jobs.Ascend(f) }

// Tasks calls f for each task, ordered by job name and task number, until f returns false.
func (v *View) Tasks(f func(*Task) bool) { v.tasks.Ascend(f) }

// TasksOf calls f for each task of the job, ordered by task number, until f returns false.
func (v *View) TasksOf(job string, f func(*Task) bool) {
	v.tasks.AscendGreaterOrEqual(&Task{ID: TaskID{Job: job}}, func(t *Task) bool { return t.ID.Job == job && f(t) })
}

// Workers calls f for each registered worker in the order of names, until f returns false.
func (v *View) Workers(f func(*Worker) bool) { v.workers.Ascend(f) }

// viewCache holds the last View and marks the parts that have changed since.
type viewCache struct {
	last          *View
	jobs          bool
	tasks         bool
	workers       bool
	configuration bool
	services      map[string]struct{} // services whose endpoints changed
}

func newViewCache() viewCache { return viewCache{services: map[string]struct{}{}} }

func (v *viewCache) jobsChanged()                    { v.jobs = true }
func (v *viewCache) tasksChanged()                   { v.tasks = true }
func (v *viewCache) workersChanged()                 { v.workers = true }
func (v *viewCache) configurationChanged()           { v.configuration = true }
func (v *viewCache) endpointsChanged(service string) { v.services[service] = struct{}{} }

func (v *viewCache) upToDate() bool {
	return v.last != nil && !v.jobs && !v.tasks && !v.workers && !v.configuration && len(v.services) == 0
}

// View returns an immutable snapshot of the state. It returns the same View again if nothing in it has changed.
func (s *State) View() *View {
	if s.views.upToDate() {
		return s.views.last
	}
	next := &View{Index: s.index, Version: s.version}
	if s.views.last == nil {
		s.views = viewCache{last: &View{}, jobs: true, tasks: true, workers: true, configuration: true, services: s.serviceNames()}
	}
	last := s.views.last
	next.jobs, next.tasks, next.workers = last.jobs, last.tasks, last.workers
	if s.views.jobs {
		next.jobs = s.jobs.Clone()
	}
	if s.views.tasks {
		next.tasks = s.tasks.Clone()
	}
	if s.views.workers {
		next.workers = s.workers.Clone()
	}
	next.Inventory, next.Rules, next.ZonesOut, next.zoneOut = last.Inventory, last.Rules, last.ZonesOut, last.zoneOut
	if s.views.configuration {
		next.Inventory, next.Rules, next.ZonesOut = s.config.inventory, s.config.rules, s.ZonesOut()
		next.zoneOut = map[string]bool{}
		for _, zone := range next.ZonesOut {
			next.zoneOut[zone] = true
		}
	}
	next.Services = s.viewServices(last.Services)
	s.views = newViewCache()
	s.views.last = next
	return next
}

// viewServices rebuilds the endpoint lists of the services whose endpoints changed.
func (s *State) viewServices(last map[string][]*Endpoint) map[string][]*Endpoint {
	if len(s.views.services) == 0 {
		return last
	}
	next := maps.Clone(last)
	if next == nil {
		next = map[string][]*Endpoint{}
	}
	for service := range s.views.services {
		delete(next, service)
		for name := range s.endpointsByService[service] {
			if e := s.Endpoint(name); e.Slots > 0 || len(e.Grants) > 0 {
				next[service] = append(next[service], e)
			}
		}
		sortEndpoints(next[service])
	}
	return next
}

func (s *State) serviceNames() map[string]struct{} {
	names := map[string]struct{}{}
	for service := range s.endpointsByService {
		names[service] = struct{}{}
	}
	return names
}
