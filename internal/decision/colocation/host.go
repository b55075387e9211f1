// Package colocation chooses hosts for tasks that share them: tasks that serve users, tasks that have processors of
// their own, and tasks that fill what processors are left.
//
// The load it answers is a host full of serving tasks beside waves of tasks that fill: fills disturb serving tasks by
// amounts that nobody declares. Serving tasks are therefore packed on few hosts, and fills go where nothing serves as long
// as there is such a host with processors left.
package colocation

import "galenamoor/pkg/resource"

// Kind classifies a task by what it shares.
type Kind int

// Kinds of tasks.
const (
	Exact   Kind = iota // has processors of its own
	Serving             // has processors of its own, and a bound on its tail latency
	Fill                // uses the processors that others leave
)

// Demand is what a task needs of a host.
type Demand struct {
	Kind       Kind
	Need       resource.Vector // of the capacity; a fill needs no processors
	Processors int64           // milli-cores that a fill can use
	DataRack   string          // rack of its data; empty for none
	PreferRack string          // rack of its step's other tasks; empty for none
	Urgent     bool            // a fill that may also go beside serving tasks
}

// Host is what the choice knows of a host.
type Host struct {
	Free    resource.Vector // capacity without what runs
	Spare   int64           // milli-cores that neither exact, serving nor filling tasks are expected to use
	Serving int             // tasks that serve
	Strain  float64         // highest tail latency of a serving task as a share of its bound; 0 when none is known
	Rack    string
	Suspect bool // has failed or delayed runs of late
}

const (
	// strainLimit is the share of a bound above which no fill is put beside the serving task. Fills disturb by up to five
	// times the undisturbed tail, which stands at about a fifth of the bound.
	strainLimit = 0.45

	// remoteCost is what a foreign rack costs a task that has its data elsewhere, in milli-cores of spare: it doubles
	// the work.
	remoteCost = 32_000
	// suspectCost keeps tasks from suspect hosts while others have room.
	suspectCost = 200_000
	// strainCost is what a serving neighbour at its bound costs a fill.
	strainCost = 100_000
)

// Score rates a host for a task; the highest is best. It returns false when the host can't take the task.
func Score(demand Demand, h *Host) (score int64, ok bool) {
	if !demand.Need.Fits(h.Free) {
		return 0, false
	}
	switch demand.Kind {
	case Serving:
		// Fullest first among hosts that serve already, so that serving tasks stay together.
		score = -h.Free.Processors
		if h.Serving > 0 {
			score += remoteCost
		}
	case Exact:
		score = h.Spare
	case Fill:
		if h.Spare < demand.Processors {
			return 0, false
		}
		if h.Serving > 0 {
			if !demand.Urgent || h.Strain > strainLimit {
				return 0, false
			}
			score -= suspectCost/2 + int64(h.Strain*strainCost)
		}
		score += h.Spare
	}
	if demand.DataRack != "" && demand.DataRack != h.Rack {
		score -= remoteCost
	}
	if demand.PreferRack != "" && demand.PreferRack != h.Rack {
		score -= 2 * remoteCost
	}
	if h.Suspect {
		score -= suspectCost
	}
	return score, true
}
