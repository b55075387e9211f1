package replica

import "time"

// heldOutputs measures how long the control loop takes no Outputs because too many aren't persisted.
type heldOutputs struct {
	since    time.Time // zero while none are held
	loggedAt time.Time
}

// begin records that Outputs are held from now on, unless they already are.
func (h *heldOutputs) begin(now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
}

// end records that Outputs are no longer held. It returns how long they were and whether that is due to be logged.
func (h *heldOutputs) end(now time.Time) (lasted time.Duration, due bool) {
	lasted = h.lasting(now)
	h.since = time.Time{}
	if lasted < slowIteration || now.Sub(h.loggedAt) < diskLogInterval {
		return lasted, false
	}
	h.loggedAt = now
	return lasted, true
}

// lasting returns how long Outputs have been held, or 0 if none are.
func (h *heldOutputs) lasting(now time.Time) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return now.Sub(h.since)
}
