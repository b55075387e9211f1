package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/maintenance"
	"galenamoor/internal/decision/order"
	"galenamoor/internal/decision/workload"
)

const (
	// listInterval is the time between two reads of the host list during a maintenance wave. The platform limits the
	// rate of reads.
	listInterval = 500 * time.Millisecond

	// maxListAge is the age up to which the host list is trusted.
	maxListAge = 1500 * time.Millisecond

	// maintainRetryDelay is the time after which a maintenance order that wasn't carried out is repeated.
	maintainRetryDelay = time.Second
)

// maintenanceState is the leader's soft state of maintenance waves.
type maintenanceState struct {
	hosts      map[string]order.HostState // as last listed
	incomplete bool                       // that list may lack hosts
	listedAt   time.Time                  // when that list was requested; zero before the first one
	listing    bool                       // a list call is in flight
	nextList   time.Time
	draining   map[string]*drainingHost
}

// drainingHost is a host that is excluded from placement for a maintenance wave.
type drainingHost struct {
	wave      uint64
	ordering  bool      // a maintenance order is in flight
	orderAt   time.Time // earliest time of the next order
	recording bool      // the record that its maintenance is ordered or has begun is proposed
	begunAt   time.Time // when the record that its maintenance has begun was decided
}

// tickMaintenance advances the maintenance waves. A new leader waits until the orders of its predecessor can no longer
// overlap with its own. Draining hosts are tracked until they are back up, even after maintenance has begun on all hosts of
// their wave.
func (d *Dispatcher) tickMaintenance() {
	active := d.state.ActiveMaintenance()
	d.resumeOrdered(active)
	if len(active) == 0 && len(d.maintenance.draining) == 0 || d.now.Sub(d.leadingSince) < d.config.Limits.MaintenanceHandover || !d.config.LeaseValid(d.now) {
		return
	}
	if !d.maintenance.listing && !d.now.Before(d.maintenance.nextList) {
		d.maintenance.listing = true
		d.config.WorkerCalls.Send(&order.Call{Kind: order.ListHosts, Epoch: d.epoch, Sent: d.now})
	}
	if d.maintenance.listedAt.IsZero() || d.now.Sub(d.maintenance.listedAt) > maxListAge {
		return
	}
	for _, wave := range active {
		d.advanceWave(wave)
	}
}

// resumeOrdered drains the hosts whose maintenance an earlier leader has ordered, as it may begin at any time.
func (d *Dispatcher) resumeOrdered(active []*controlpb.Maintenance) {
	for _, wave := range active {
		for _, host := range wave.GetOrdered() {
			if d.maintenance.draining[host] == nil && !d.recordingMaintained[maintainedKey{wave.GetWave(), host}] {
				d.config.Log.Info("resuming ordered maintenance", "Wave", wave.GetWave(), "Host", host)
				d.maintenance.draining[host] = &drainingHost{wave: wave.GetWave()}
			}
		}
	}
}

// advanceWave selects the next hosts of a wave, and drains those selected before.
func (d *Dispatcher) advanceWave(wave *controlpb.Maintenance) {
	hosts := make([]maintenance.Host, 0, len(wave.GetHosts()))
	for _, name := range wave.GetHosts() {
		state, isListed := d.maintenance.hosts[name]
		begun := slices.Contains(wave.GetBegun(), name)
		if !isListed && !begun && !d.maintenance.incomplete {
			d.recordMaintained(wave.GetWave(), name, "the host no longer exists")
			continue
		}
		draining := d.maintenance.draining[name]
		if !isListed && (begun || draining == nil) {
			continue
		}
		w := d.workerOn(name)
		h := maintenance.Host{Name: name, Begun: begun, Up: state == order.HostUp && w != nil, Draining: draining != nil}
		if w != nil {
			h.Load = w.used.Processors + w.bestEffortProcessors
		}
		if draining != nil && draining.wave == wave.GetWave() && w != nil && !begun {
			d.drain(name, draining, w)
		}
		hosts = append(hosts, h)
	}
	for _, name := range maintenance.NextHosts(int(max(1, wave.GetMostAtOnce())), hosts) {
		d.config.Log.Info("draining host for maintenance", "Wave", wave.GetWave(), "Host", name, "Begun", len(wave.GetBegun()),
			"ListAge", d.now.Sub(d.maintenance.listedAt).String())
		d.maintenance.draining[name] = &drainingHost{wave: wave.GetWave()}
	}
}

// workerOn returns the current incarnation of the worker on a host, or nil.
func (d *Dispatcher) workerOn(host string) *worker {
	for _, w := range d.orderedWorkers {
		if w.incarnation.GetHost() == host && !w.ending && !w.superseded {
			return w
		}
	}
	return nil
}

// isDraining reports whether a worker's host is excluded from placement for maintenance.
func (d *Dispatcher) isDraining(w *worker) bool {
	return d.maintenance.draining[w.incarnation.GetHost()] != nil
}

// drain stops the runs on a host, and orders its maintenance once none is left. That is recorded first: an order may be
// carried out late, so a later leader has to repeat it before it orders the maintenance of other hosts.
func (d *Dispatcher) drain(host string, draining *drainingHost, w *worker) {
	budgets := d.disruptionBudgets()
	for r := range w.liveRuns() {
		if !r.stopRequested && budgets.allowsStop(r) {
			d.requestStop(r, "its host is being drained for maintenance")
			delete(budgets.unavailable, r.task.Step)
		}
	}
	if len(w.incarnation.Runs) > 0 || len(w.proposedRuns) > 0 || draining.ordering || draining.recording || d.now.Before(draining.orderAt) {
		return
	}
	if !slices.Contains(d.state.Maintenance(draining.wave).GetOrdered(), host) {
		d.recordOrdered(host, draining)
		return
	}
	draining.ordering = true
	d.config.Log.Info("ordering maintenance", "Wave", draining.wave, "Host", host, "Epoch", d.epoch)
	d.config.WorkerCalls.Send(&order.Call{Kind: order.Maintain, Epoch: d.epoch, Fence: d.epoch, Sent: d.now, Host: host, Wave: draining.wave})
}

// disruptionBudgets tells which runs may be stopped. It counts the tasks of a step once, so that it is valid only until something changes.
type disruptionBudgets struct {
	dispatcher  *Dispatcher
	unavailable map[*workload.Step]int // number of tasks that aren't serving
}

func (d *Dispatcher) disruptionBudgets() disruptionBudgets {
	return disruptionBudgets{dispatcher: d, unavailable: map[*workload.Step]int{}}
}

// allowsStop reports whether a run may be stopped for maintenance or to make room. The step's disruption budget (MayMiss) counts all
// unavailable tasks, whatever the cause.
func (b disruptionBudgets) allowsStop(r *run) bool {
	step := r.task.Step
	if !step.GetPerpetual() || step.GetMayMiss() == 0 || r.progress < servingProgress {
		return true
	}
	unavailable, isCounted := b.unavailable[step]
	if !isCounted {
		for _, task := range step.Tasks {
			if !b.dispatcher.isServing(task) {
				unavailable++
			}
		}
		b.unavailable[step] = unavailable
	}
	if !b.dispatcher.isServing(r.task) {
		unavailable--
	}
	return unavailable < int(step.GetMayMiss())
}

// handleHostList handles the answer to a list call, and readmits hosts that are back up after their maintenance.
func (d *Dispatcher) handleHostList(a *order.Answer) {
	d.maintenance.listing = false
	d.maintenance.nextList = d.now.Add(listInterval)
	if a.Status != order.OK {
		d.config.Log.Info("hosts not listed", "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	d.maintenance.hosts, d.maintenance.incomplete, d.maintenance.listedAt = a.Hosts, a.HostsIncomplete, a.Call.Sent
	for name, draining := range d.maintenance.draining {
		if a.Call.Sent.Before(draining.begunAt) {
			continue // the list may be from before its maintenance
		}
		if state, ok := a.Hosts[name]; ok && state == order.HostUp && !draining.ordering && !draining.recording && d.isBegun(draining.wave, name) {
			delete(d.maintenance.draining, name)
		}
	}
}

// handleMaintain handles the answer to a maintenance order. An unanswered order may still be carried out; it is
// repeated, as the platform also confirms one that it has already carried out.
func (d *Dispatcher) handleMaintain(a *order.Answer) {
	host := a.Call.Host
	draining := d.maintenance.draining[host]
	if draining == nil {
		return
	}
	draining.ordering, draining.orderAt = false, d.now.Add(maintainRetryDelay)
	switch a.Status {
	case order.OK:
		if w := d.workerOn(host); w != nil {
			d.endIncarnation(w, "the maintenance of its host has begun")
		}
		draining.recording = true
		d.recordMaintained(a.Call.Wave, host, "the platform has begun its maintenance")
	case order.Invalid:
		delete(d.maintenance.draining, host)
		d.recordMaintained(a.Call.Wave, host, "the host no longer exists")
	default:
		d.config.Log.Info("maintenance not begun", "Wave", a.Call.Wave, "Host", host, "Status", a.Status.String(), "Error", errorText(a.Err))
	}
}

// recordOrdered proposes to record that the maintenance of a host is about to be ordered.
func (d *Dispatcher) recordOrdered(host string, draining *drainingHost) {
	draining.recording = true
	ordered := &controlpb.MaintenanceOrdered{Wave: draining.wave, Host: host}
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_MaintenanceOrdered{MaintenanceOrdered: ordered}}
	d.propose(change, func(*controlpb.Result) { draining.recording = false })
}

// recordMaintained proposes to record that the maintenance of a host of a wave has begun, or that the host no longer
// exists.
func (d *Dispatcher) recordMaintained(wave uint64, host, reason string) {
	key := maintainedKey{wave, host}
	if d.recordingMaintained[key] {
		return
	}
	d.recordingMaintained[key] = true
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_HostMaintained{HostMaintained: &controlpb.HostMaintained{Wave: wave, Host: host}}}
	d.propose(change, func(result *controlpb.Result) {
		delete(d.recordingMaintained, key)
		if result == nil {
			return
		}
		d.config.Log.Info("host maintained", "Wave", wave, "Host", host, "Reason", reason)
		if draining := d.maintenance.draining[host]; draining != nil {
			draining.recording, draining.begunAt = false, d.now
		}
	})
}

// maintainedKey identifies a host of a wave.
type maintainedKey struct {
	wave uint64
	host string
}

// isBegun reports whether the maintenance of a host is recorded as begun in a wave.
func (d *Dispatcher) isBegun(wave uint64, host string) bool {
	return slices.Contains(d.state.Maintenance(wave).GetBegun(), host)
}
