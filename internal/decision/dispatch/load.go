package dispatch

// The load that this file answers: serving tasks use far less of their processors than they hold, by a share that swings
// and that nobody tells. Fills that get fewer processors than they can use show that too much was counted on.

const (
	// firstServingLoad is the share of their processors that serving tasks are taken to use before anything was seen.
	firstServingLoad = 0.65
	// leastServingLoad and mostServingLoad bound the estimate.
	leastServingLoad = 0.35
	mostServingLoad  = 0.95

	// fullShare is the share of the processors that fills could use above which a full host has more to give, and
	// shortShare the one below which it has given too much.
	fullShare  = 0.96
	shortShare = 0.90
	// lowerStep and raiseStep change the estimate with each look at a full host. The estimate rises faster than it falls,
	// because fills that are short of processors all take longer.
	lowerStep = 0.0005
	raiseStep = 0.002

	// fullSpare is the number of milli-cores below which nothing more fits on a host.
	fullSpare = 4000
)

// learnLoad follows how many processors fills get on a worker that is full by the estimate.
func (d *Dispatcher) learnLoad(w *worker) {
	if w.servers == 0 || d.spare(w) >= fullSpare {
		return
	}
	var used, wanted int64
	for key := range w.life.Runs {
		r := d.runs[key]
		if r == nil || !r.seen || r.gauge < 0 || !r.task.Step.GetFills() || d.now.Sub(r.began) < 2*settledAfter {
			continue
		}
		used += r.gauge
		wanted += r.task.Step.GetProcessors()
	}
	if wanted == 0 {
		return
	}
	switch share := float64(used) / float64(wanted); {
	case share >= fullShare:
		d.servingLoad = max(leastServingLoad, d.servingLoad-lowerStep)
	case share < shortShare:
		d.servingLoad = min(mostServingLoad, d.servingLoad+raiseStep)
	}
}

// spare returns the milli-cores that a worker's tasks are expected to leave unused.
func (d *Dispatcher) spare(w *worker) int64 {
	unused := int64((1 - d.servingLoad) * float64(w.servers))
	return w.life.GetProcessors() - w.used.Processors - w.fills + unused
}
