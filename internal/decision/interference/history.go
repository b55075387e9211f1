package interference

import "time"

const (
	// ReportInterval is the length of the interval that one report covers: the renewal interval of a worker.
	ReportInterval = 5 * time.Second
	// historyRetention is how long an interval is kept after its end. Reports arrive up to 30 s after their interval.
	historyRetention = 45 * time.Second
)

// History holds the recent runs on one worker, so that a late report is matched with the neighbours in its own interval.
type History struct {
	intervals []runInterval
}

// runInterval is a time during which a task ran with constant weight.
type runInterval struct {
	fence    uint64
	kind     Kind
	weight   float64
	from, to time.Time // to is zero while the interval lasts
}

// SetWeight records that a task runs from now on with a weight, its throttle as a fraction. Weight 0 ends its run.
func (h *History) SetWeight(now time.Time, fence uint64, kind Kind, weight float64) {
	kept := h.intervals[:0]
	for _, r := range h.intervals {
		if r.fence == fence && r.to.IsZero() {
			if r.weight == weight {
				return
			}
			r.to = now
		}
		if r.to.IsZero() || now.Sub(r.to) < historyRetention {
			kept = append(kept, r)
		}
	}
	h.intervals = kept
	if weight > 0 {
		h.intervals = append(h.intervals, runInterval{fence: fence, kind: kind, weight: weight, from: now})
	}
}

// Neighbours appends to buffer the neighbours of a task in the interval that ended at the given time, with the weights added up
// by kind.
func (h *History) Neighbours(end time.Time, selfFence uint64, buffer []Neighbour) []Neighbour {
	begin := end.Add(-ReportInterval)
	for _, r := range h.intervals {
		if r.fence == selfFence {
			continue
		}
		from, to := r.from, r.to
		if from.Before(begin) {
			from = begin
		}
		if to.IsZero() || to.After(end) {
			to = end
		}
		if !to.After(from) {
			continue
		}
		buffer = addWeight(buffer, r.kind, r.weight*float64(to.Sub(from))/float64(ReportInterval))
	}
	return buffer
}

func addWeight(buffer []Neighbour, kind Kind, weight float64) []Neighbour {
	for i := range buffer {
		if buffer[i].Kind == kind {
			buffer[i].Weight += weight
			return buffer
		}
	}
	return append(buffer, Neighbour{kind, weight})
}
