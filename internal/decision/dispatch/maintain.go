package dispatch

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/maintenance"
	"galenamoor/internal/decision/order"
)

const (
	// listInterval is the time between two looks at the list of hosts while a wave is under way. The platform bounds how
	// often it is read.
	listInterval = 500 * time.Millisecond

	// listMost is the age up to which the list is relied on.
	listMost = 1500 * time.Millisecond

	// maintainRetry is the time after which an order to maintain a host that wasn't carried out is given again.
	maintainRetry = time.Second
)

// waves is the leader's soft state of maintenance.
type waves struct {
	hosts    map[string]order.HostState // as listed
	listedAt time.Time                  // when that list was asked for; zero for never
	listing  bool
	listAt   time.Time
	taken    map[string]*takenHost
}

// takenHost is a host that is taken out of use for a wave.
type takenHost struct {
	wave      uint64
	ordering  bool // the call is under way
	orderAt   time.Time
	recording bool
}

// tickWaves goes on with the waves of maintenance. A new leader waits until the orders of the one before can't overlap
// with its own. Hosts that are taken are followed until they are back, also when all of their wave have begun.
func (d *Dispatcher) tickWaves() {
	active := d.state.ActiveMaintenance()
	if len(active) == 0 && len(d.waves.taken) == 0 || d.now.Sub(d.began) < d.config.Limits.TurnTime || !d.config.LeaseValid(d.now) {
		return
	}
	if !d.waves.listing && !d.now.Before(d.waves.listAt) {
		d.waves.listing = true
		d.config.Orders.Send(&order.Call{Kind: order.ListHosts, Epoch: d.epoch, Sent: d.now})
	}
	if d.waves.listedAt.IsZero() || d.now.Sub(d.waves.listedAt) > listMost {
		return
	}
	for _, wave := range active {
		d.goOn(wave)
	}
}

// goOn takes the next hosts of a wave, and empties and maintains those that are taken.
func (d *Dispatcher) goOn(wave *controlpb.Maintenance) {
	hosts := make([]maintenance.Host, 0, len(wave.GetHosts()))
	for _, name := range wave.GetHosts() {
		listed, isListed := d.waves.hosts[name]
		begun := slices.Contains(wave.GetBegun(), name)
		if !isListed {
			if !begun {
				d.recordMaintained(wave.GetWave(), name, "it is gone")
			}
			continue
		}
		taken := d.waves.taken[name]
		w := d.workerOn(name)
		h := maintenance.Host{Name: name, Begun: begun, Up: listed == order.HostUp && w != nil, Taken: taken != nil}
		if w != nil {
			h.Load = w.used.Processors + w.fills
		}
		if taken != nil && taken.wave == wave.GetWave() && w != nil {
			d.empty(name, taken, w)
		}
		hosts = append(hosts, h)
	}
	for _, name := range maintenance.Next(int(max(1, wave.GetMostAtOnce())), hosts) {
		d.config.Log.Info("emptying host for maintenance", "Wave", wave.GetWave(), "Host", name, "Begun", len(wave.GetBegun()),
			"ListAge", d.now.Sub(d.waves.listedAt).String())
		d.waves.taken[name] = &takenHost{wave: wave.GetWave()}
	}
}

// workerOn returns the life of a worker on a host, or nil.
func (d *Dispatcher) workerOn(host string) *worker {
	for _, w := range d.roster {
		if w.life.GetHost() == host && !w.ending && !w.reborn {
			return w
		}
	}
	return nil
}

// isTaken reports whether a worker's host is taken out of use for maintenance.
func (d *Dispatcher) isTaken(w *worker) bool { return d.waves.taken[w.life.GetHost()] != nil }

// empty stops what runs on a host, and orders its maintenance once nothing does.
func (d *Dispatcher) empty(host string, taken *takenHost, w *worker) {
	for key := range w.life.Runs {
		r := d.runs[key]
		if r != nil && !r.stopWanted && d.mayStop(r) {
			d.wantStop(r, "its host is to be maintained")
		}
	}
	if len(w.life.Runs) > 0 || len(w.promised) > 0 || taken.ordering || taken.recording || d.now.Before(taken.orderAt) {
		return
	}
	taken.ordering = true
	d.config.Log.Info("ordering maintenance", "Wave", taken.wave, "Host", host, "Epoch", d.epoch)
	d.config.Orders.Send(&order.Call{Kind: order.Maintain, Epoch: d.epoch, Fence: d.epoch, Sent: d.now, Host: host, Wave: taken.wave})
}

// mayStop reports whether a run may be stopped for maintenance. Of the tasks of a step that serves only so many may be
// away at once through the system's own doing, whyever the others are.
func (d *Dispatcher) mayStop(r *run) bool {
	step := r.task.Step
	if !step.GetPerpetual() || step.GetMayMiss() == 0 || r.percent < fullPercent {
		return true
	}
	away := 0
	for _, task := range step.Tasks {
		if task != r.task && !d.isAtWork(task) {
			away++
		}
	}
	return away < int(step.GetMayMiss())
}

// listed follows the answer to a look at the list of hosts.
func (d *Dispatcher) listed(a *order.Answer) {
	d.waves.listing = false
	d.waves.listAt = d.now.Add(listInterval)
	if a.Status != order.OK {
		d.config.Log.Info("hosts not listed", "Status", a.Status.String(), "Error", errorText(a.Err))
		return
	}
	d.waves.hosts, d.waves.listedAt = a.Hosts, a.Call.Sent
	for name, taken := range d.waves.taken {
		if state, ok := a.Hosts[name]; ok && state == order.HostUp && !taken.ordering && !taken.recording && d.isBegun(taken.wave, name) {
			delete(d.waves.taken, name)
		}
	}
}

// maintainAnswered follows the answer to an order to maintain a host. One without an answer may be carried out later; it is
// repeated, because the platform says yes also when it has been done.
func (d *Dispatcher) maintainAnswered(a *order.Answer) {
	host := a.Call.Host
	taken := d.waves.taken[host]
	if taken == nil {
		return
	}
	taken.ordering, taken.orderAt = false, d.now.Add(maintainRetry)
	switch a.Status {
	case order.OK:
		if w := d.workerOn(host); w != nil {
			d.endLife(w, "the maintenance of its host has begun")
		}
		taken.recording = true
		d.recordMaintained(a.Call.Wave, host, "the platform has begun it")
	case order.Invalid:
		delete(d.waves.taken, host)
		d.recordMaintained(a.Call.Wave, host, "it is gone")
	default:
		d.config.Log.Info("maintenance not begun", "Wave", a.Call.Wave, "Host", host, "Status", a.Status.String(), "Error", errorText(a.Err))
	}
}

// recordMaintained records that nothing is left to do for a host of a wave.
func (d *Dispatcher) recordMaintained(wave uint64, host, reason string) {
	key := maintainedKey{wave, host}
	if d.maintained[key] {
		return
	}
	d.maintained[key] = true
	change := &controlpb.WorkChange{Kind: &controlpb.WorkChange_HostMaintained{HostMaintained: &controlpb.HostMaintained{Wave: wave, Host: host}}}
	d.propose(change, func(result *controlpb.Result) {
		delete(d.maintained, key)
		if result == nil {
			return
		}
		d.config.Log.Info("host maintained", "Wave", wave, "Host", host, "Reason", reason)
		if taken := d.waves.taken[host]; taken != nil {
			taken.recording = false
		}
	})
}

// maintainedKey names a host of a wave of which a record is proposed.
type maintainedKey struct {
	wave uint64
	host string
}

// isBegun reports whether it is recorded that the maintenance of a host has begun.
func (d *Dispatcher) isBegun(wave uint64, host string) bool {
	return slices.Contains(d.state.Maintenance(wave).GetBegun(), host)
}
