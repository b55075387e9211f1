package dispatch

// observeFenced notes that a worker rejects this leader's fencing token. Either a newer leader has taken over, so that nothing that
// this one proposes is committed any more, or the incarnation was polled as one that wasn't known yet (see fenceOff). Then it
// accepts nothing under its number. Its runs end with its lease, and their ends can't be read, so that it must be declared lost. Its
// next announcement registers it under a higher number.
func (d *Dispatcher) observeFenced(w *worker) {
	if !w.fenced {
		d.config.Log.Info("worker has seen a higher fencing token", "Worker", w.incarnation.GetId(), "Epoch", d.epoch, "Token", d.fence(w))
	}
	w.fenced = true
}
