package dispatch

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/decision/imagepair"
)

// The tail latency of a serving task also rises when its worker is slow or its own load is high. The best-effort images beside it
// are blamed all the same, and kept away from its image on all workers. Once they have been stopped or paused on the worker,
// its tail latency shows whether they were the cause.

// quietTime is how long no best-effort task must have worked on a worker before its tail latencies certainly have other causes:
// the time until a pause is in force, and the window of a tail latency.
const quietTime = tailExposure + 200*time.Millisecond

// noteBlame remembers evidence of interference that a worker has given, until settleBlames decides about it.
func (w *worker) noteBlame(b imagepair.Blame) {
	if b.Evidence == 0 {
		return
	}
	blames := w.blames[b.Victim]
	for i := range blames {
		if blames[i].Aggressor == b.Aggressor {
			blames[i].Evidence += b.Evidence
			return
		}
	}
	w.blames[b.Victim] = append(blames, b)
}

// settleBlames retracts a worker's evidence of interference with a serving image whose latency ratio is still over the target
// after quietTime. The evidence stands if the ratio falls below the target before. worstRatios holds the highest latency ratio
// of each image that serves on the worker.
func (d *Dispatcher) settleBlames(w *worker, worstRatios map[string]float64) {
	if w.bestEffortProcessors > 0 && w.speed > pausedSpeed {
		w.quietSince = d.now
	}
	isQuiet := d.now.Sub(w.quietSince) >= quietTime
	for _, victim := range slices.Sorted(maps.Keys(w.blames)) {
		blames := w.blames[victim]
		latencyRatio := worstRatios[victim]
		switch {
		case !imagepair.IsOverTarget(latencyRatio):
			delete(w.blames, victim)
		case isQuiet:
			delete(w.blames, victim)
			for _, b := range blames {
				d.interference.Retract(d.now, b)
			}
			d.config.Count("InterferenceRetracted")
			d.config.Log.Info("interference retracted", "Worker", w.incarnation.GetId(), "Victim", victim, "Aggressors", len(blames), "LatencyRatio", latencyRatio)
		}
	}
}
