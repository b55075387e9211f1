package dispatch

import "time"

// A host that crashes again and again for reasons of its own comes back empty each time, so that it attracts tasks, and suspect
// ones above all as a quiet worker. Its next crash would count against them. Tasks start elsewhere while there is room.

// unstableUntil returns until when a worker at an address counts as unstable because its host has crashed, or the zero time.
func (d *Dispatcher) unstableUntil(address string) time.Time {
	for i := len(d.losses) - 1; i >= 0; i-- {
		if l := d.losses[i]; l.crashed && l.address == address {
			return l.at.Add(crashWindow)
		}
	}
	return time.Time{}
}

// isUnstable reports whether the host of a worker has crashed lately, so that it may do so again whatever runs there.
func (d *Dispatcher) isUnstable(w *worker) bool { return d.now.Before(w.unstableUntil) }
