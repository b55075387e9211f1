package controlstate

import (
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

// zoneState records whether operators have taken a zone out of service.
type zoneState struct {
	Out     bool
	Version uint64 // of the configuration that last set it
	Since   int64  // recorded time of the last change of Out, unix nanoseconds
}

// configuration is a parsed configuration with lookup tables. It is immutable.
type configuration struct {
	inventoryText     string
	rulesText         string
	inventory         *inventory.Inventory
	rules             *rules.Rules
	workers           map[string]*inventory.Worker
	services          map[string]*inventory.Service
	jobs              map[string]*inventory.Job
	serviceZones      map[string][]string // zones that the rules permit; no entry means all zones
	kindZones         map[string][]string
	maximalCapacities map[string][]resource.Vector // per zone, the worker capacities that fit into no other one
}

func emptyConfiguration() *configuration {
	return newConfiguration(&inventory.Inventory{}, &rules.Rules{})
}

func parseConfiguration(inventoryText, rulesText string) (*configuration, error) {
	i, err := inventory.Parse(inventoryText)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := rules.Parse(rulesText, i)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := newConfiguration(i, r)
	c.inventoryText, c.rulesText = inventoryText, rulesText
	return c, nil
}

func newConfiguration(i *inventory.Inventory, r *rules.Rules) *configuration {
	c := &configuration{
		inventory:         i,
		rules:             r,
		workers:           map[string]*inventory.Worker{},
		services:          map[string]*inventory.Service{},
		jobs:              map[string]*inventory.Job{},
		serviceZones:      map[string][]string{},
		kindZones:         map[string][]string{},
		maximalCapacities: map[string][]resource.Vector{},
	}
	for n := range i.Workers {
		w := &i.Workers[n]
		c.workers[w.Name] = w
		c.maximalCapacities[w.Zone] = addMaximal(c.maximalCapacities[w.Zone], w.Capacity)
	}
	for n := range i.Services {
		c.services[i.Services[n].Name] = &i.Services[n]
	}
	for n := range i.Jobs {
		c.jobs[i.Jobs[n].Name] = &i.Jobs[n]
	}
	for _, s := range r.Services {
		c.serviceZones[s.Name] = s.Zones
	}
	for _, k := range r.Kinds {
		c.kindZones[k.Name] = k.Zones
	}
	return c
}

// addMaximal adds a capacity to a set in which none fits into another: it drops the capacities that fit into the new one,
// and the new one if it fits into an existing one.
func addMaximal(maximal []resource.Vector, v resource.Vector) []resource.Vector {
	for _, capacity := range maximal {
		if v.Fits(capacity) {
			return maximal
		}
	}
	maximal = slices.DeleteFunc(maximal, func(capacity resource.Vector) bool { return capacity.Fits(v) })
	return append(maximal, v)
}

// listed reports whether the inventory lists a service or a job with the name.
func (c *configuration) listed(job string) bool {
	return c.services[job] != nil || c.jobs[job] != nil
}

// ruleZones returns the zones that the rules permit for the job; empty means all zones.
func (c *configuration) ruleZones(spec *controlpb.JobSpec) []string {
	if spec.GetClass() == controlpb.Class_LATENCY_CRITICAL {
		return c.serviceZones[spec.GetService()]
	}
	return c.kindZones[spec.GetKind()]
}

// permitted reports whether both the specification of the job and the rules permit the zone.
func (s *State) permitted(spec *controlpb.JobSpec, zone string) bool {
	return allows(spec.GetZones(), zone) && allows(s.config.ruleZones(spec), zone)
}

func allows(zones []string, zone string) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// fitsAnyWorker reports whether one task of the job fits on an empty worker of the inventory in a permitted zone.
func (s *State) fitsAnyWorker(spec *controlpb.JobSpec) bool {
	request := spec.GetRequest().Vector()
	for _, zone := range s.config.inventory.Zones {
		if !s.permitted(spec, zone) {
			continue
		}
		for _, capacity := range s.config.maximalCapacities[zone] {
			if request.Fits(capacity) {
				return true
			}
		}
	}
	return false
}

// applyConfiguration replaces the configuration if its base version is the current version.
func (s *State) applyConfiguration(c *controlpb.ApplyConfiguration) *controlpb.Result {
	return s.applyOnce(c.GetRequestKey(), func() *controlpb.Result {
		if c.GetBaseVersion() != s.version {
			return s.versionConflict(c.GetBaseVersion())
		}
		next, err := parseConfiguration(c.GetInventory(), c.GetRules())
		if err != nil {
			return invalid(ReasonBadConfiguration, "%v", err)
		}
		if refused := s.checkConfiguration(next); refused != nil {
			return refused
		}
		s.activate(next)
		return &controlpb.Result{}
	})
}

func (s *State) versionConflict(base uint64) *controlpb.Result {
	return refuse(controlpb.ResultCode_RESULT_CONFLICT, ReasonVersionConflict, "base version %d; version %d is in force", base, s.version)
}

// checkConfiguration refuses a configuration whose jobs have the names of submitted jobs or would exceed MaxTasks.
func (s *State) checkConfiguration(next *configuration) *controlpb.Result {
	added := 0
	check := func(name string, tasks int) *controlpb.Result {
		j := s.Job(name)
		if j != nil && j.RequestKey != "" {
			return rejected(ReasonNameInUse, "%s is a submitted job", name)
		}
		if j == nil {
			added += tasks
		} else {
			added += max(0, tasks-int(j.Spec.GetTasks()))
		}
		return nil
	}
	for _, service := range next.inventory.Services {
		if refused := check(service.Name, service.Executors); refused != nil {
			return refused
		}
	}
	for _, job := range next.inventory.Jobs {
		if refused := check(job.Name, job.Tasks); refused != nil {
			return refused
		}
	}
	if s.tasks.Len()+added > MaxTasks {
		return rejected(ReasonTooMany, "%d tasks and %d more: expected at most %d", s.tasks.Len(), added, MaxTasks)
	}
	return nil
}

// activate makes a validated configuration the current one.
func (s *State) activate(next *configuration) {
	previous := s.config
	s.config = next
	s.version++
	s.pruneZones()
	s.updateWorkers()
	zonesChanged := s.reconcileJobs(previous)
	s.evictMisplaced(zonesChanged)
	s.changes.configuration = true
	s.views.configurationChanged()
}

// pruneZones removes the records of zones that are in service and no longer listed. A zone out of service stays out of
// service even if it is removed from the inventory and added again.
func (s *State) pruneZones() {
	for name, zone := range s.zones {
		if !zone.Out && !s.config.inventory.HasZone(name) {
			delete(s.zones, name)
		}
	}
}

// setZone takes a zone out of service or returns it to service.
func (s *State) setZone(c *controlpb.SetZone) *controlpb.Result {
	return s.applyOnce(c.GetRequestKey(), func() *controlpb.Result {
		if c.GetBaseVersion() != 0 && c.GetBaseVersion() != s.version {
			return s.versionConflict(c.GetBaseVersion())
		}
		zone, known := s.zones[c.GetZone()]
		if !known && !s.config.inventory.HasZone(c.GetZone()) {
			return notFound(ReasonUnknownZone, "%q: expected one of %q", c.GetZone(), s.config.inventory.Zones)
		}
		s.version++
		if zone.Out != c.GetOut() {
			zone.Since = s.time
		}
		s.zones[c.GetZone()] = zoneState{c.GetOut(), s.version, zone.Since}
		s.evictMisplaced(false)
		s.changes.configuration = true
		s.views.configurationChanged()
		return &controlpb.Result{}
	})
}

// ZonesOut returns the zones out of service, sorted.
func (s *State) ZonesOut() []string {
	var out []string
	for name, zone := range s.zones {
		if zone.Out {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// IsZoneOut reports whether the zone is out of service.
func (s *State) IsZoneOut(zone string) bool { return s.zones[zone].Out }

// Inventory returns the active inventory. It is immutable.
func (s *State) Inventory() *inventory.Inventory { return s.config.inventory }

// Rules returns the active rules. They are immutable.
func (s *State) Rules() *rules.Rules { return s.config.rules }

// reconcileJobs adds, updates and cancels jobs so that they match the services and jobs of the inventory. It reports
// whether the permitted zones of any job have changed.
func (s *State) reconcileJobs(previous *configuration) (zonesChanged bool) {
	zonesChanged = !sameZones(previous.serviceZones, s.config.serviceZones) || !sameZones(previous.kindZones, s.config.kindZones)
	for _, service := range s.config.inventory.Services {
		zonesChanged = s.reconcileJob(s.serviceSpec(service), previous) || zonesChanged
	}
	for _, job := range s.config.inventory.Jobs {
		zonesChanged = s.reconcileJob(s.jobSpec(job), previous) || zonesChanged
	}
	for _, service := range previous.inventory.Services {
		if !s.config.listed(service.Name) {
			s.unlistJob(service.Name)
		}
	}
	for _, job := range previous.inventory.Jobs {
		if !s.config.listed(job.Name) {
			s.unlistJob(job.Name)
		}
	}
	return zonesChanged
}

func sameZones(a, b map[string][]string) bool {
	for name, zones := range a {
		if !slices.Equal(zones, b[name]) {
			return false
		}
	}
	for name, zones := range b {
		if !slices.Equal(zones, a[name]) {
			return false
		}
	}
	return true
}

func (s *State) serviceSpec(service inventory.Service) *controlpb.JobSpec {
	return &controlpb.JobSpec{
		Name:     service.Name,
		Team:     service.Team,
		Kind:     service.Name,
		Class:    controlpb.Class_LATENCY_CRITICAL,
		Priority: int32(s.config.rules.Service(service.Name).Priority),
		Tasks:    int32(service.Executors),
		Request:  resources(service.Request),
		Zones:    service.Zones,
		Service:  service.Name,
	}
}

func (s *State) jobSpec(job inventory.Job) *controlpb.JobSpec {
	kind := job.Kind
	if kind == "" {
		kind = job.Name
	}
	spec := &controlpb.JobSpec{
		Name:        job.Name,
		Team:        job.Team,
		Kind:        kind,
		Urgent:      job.Urgent,
		Priority:    int32(s.config.rules.Kind(kind).Priority),
		Tasks:       int32(job.Tasks),
		Request:     resources(job.Request),
		RunTime:     int64(job.RunTime),
		Checkpoints: job.Checkpoints,
		Zones:       job.Zones,
	}
	submitted := s.time
	if j := s.Job(job.Name); j != nil {
		submitted = j.Submitted
	}
	if job.Deadline > 0 {
		spec.Deadline = submitted + int64(job.Deadline)
	}
	return spec
}

// reconcileJob adds the job, or updates its tasks to a changed specification. Running tasks keep their charge; a changed
// request applies from their next start. A job that the previous inventory did not list resumes its cancelled tasks.
func (s *State) reconcileJob(spec *controlpb.JobSpec, previous *configuration) (zonesChanged bool) {
	j := s.Job(spec.GetName())
	if j == nil {
		s.addJob(&Job{Spec: spec, Submitted: s.time})
		return false
	}
	relisted := !previous.listed(spec.GetName())
	if !relisted && proto.Equal(j.Spec, spec) {
		return false
	}
	next := *j
	next.Spec = spec
	if relisted {
		next.Cancelled = false
	}
	s.putJob(&next)
	for number := int32(0); number < spec.GetTasks(); number++ {
		s.reopenTask(&next, TaskID{spec.GetName(), number}, relisted || number >= j.Spec.GetTasks())
	}
	s.cancelSurplus(spec.GetName(), j.Spec.GetTasks(), "the inventory lists fewer tasks")
	return !slices.Equal(j.Spec.GetZones(), spec.GetZones())
}

// reopenTask adds the task if it is missing and revokes a pending cancellation. With relisted, it also resumes a task that
// has ended as cancelled.
func (s *State) reopenTask(j *Job, id TaskID, relisted bool) {
	t := s.Task(id)
	switch {
	case t == nil && !j.Cancelled:
		s.addTask(id)
		s.taskOpened(id.Job)
	case t != nil && t.Cancel && !j.Cancelled:
		next := *t
		next.Cancel, next.Reason = false, controlpb.StopReason_EVICT_PREEMPTED
		s.putTask(&next)
	case t != nil && relisted && t.State == controlpb.TaskState_CANCELLED:
		next := *t
		next.State, next.Since = controlpb.TaskState_WAITING, s.time
		s.putTask(&next)
		s.taskOpened(id.Job)
	}
}

// cancelSurplus cancels the tasks beyond the number in the specification; before is the previous number of tasks.
func (s *State) cancelSurplus(job string, before int32, why string) {
	tasks := s.Job(job).Spec.GetTasks()
	for number := tasks; number < before; number++ {
		if t := s.Task(TaskID{job, number}); t != nil {
			s.cancelTask(t, why)
		}
	}
}

// unlistJob cancels a job that the inventory no longer lists. The tasks of a service are removed as they end; a batch job
// is kept for JobRetention after its end.
func (s *State) unlistJob(name string) {
	j := s.Job(name)
	if j == nil {
		return
	}
	const why = "the inventory no longer lists the job"
	if j.Spec.GetClass() != controlpb.Class_LATENCY_CRITICAL {
		s.cancelJob(j, why)
		s.jobEnded(s.Job(name))
		return
	}
	next := *j
	next.Spec = proto.CloneOf(j.Spec)
	next.Spec.Tasks = 0
	s.putJob(&next)
	s.cancelSurplus(name, j.Spec.GetTasks(), why)
	s.removeJobIfEmpty(name)
}
