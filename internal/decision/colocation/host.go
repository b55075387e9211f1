// Package colocation chooses hosts for tasks that share them: tasks that serve users, tasks that have processors of
// their own, and tasks that fill what processors are left.
//
// The load it answers is a host full of serving tasks beside waves of tasks that fill: some fills disturb some serving
// tasks. Serving tasks are therefore packed on few hosts; fills go where nothing serves first, then beside serving tasks
// that they are known not to disturb, and last, a few at a time, beside ones of which that isn't known.
package colocation

import (
	"galenamoor/internal/decision/disturbance"
	"galenamoor/pkg/resource"
)

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
	Need       resource.Vector    // of the capacity; a fill needs no processors
	Processors int64              // milli-cores that a fill can use
	Mixes      bool               // a serving task on a host that serves other images
	Unsure     bool               // a fill on a host with another one of which it isn't known how it gets on
	Gentle     bool               // a fill that works at a slow pace, at which it disturbs little
	DataRack   string             // rack of its data; empty for none
	Companions disturbance.Rating // how it gets on with what runs on the host
}

// Host is what the choice knows of a host.
type Host struct {
	Free    resource.Vector // capacity without what runs
	Spare   int64           // milli-cores that neither exact, serving nor filling tasks are expected to use
	Serving int             // tasks that serve
	Fills   int64           // milli-cores that fills use
	Strain  float64         // highest tail latency of a serving task as a share of its bound; 0 when none is known
	Halted  bool            // its fills are halted for the sake of serving tasks

	Processors int64 // milli-cores of the host
	Gentle     int64 // milli-cores of fills that work at a slow pace

	Rack    string
	Suspect bool // has failed or delayed runs of late
}

const (
	// strainLimit is the share of a bound above which no further fill is put beside the serving task. The load of serving
	// tasks alone takes their tails to nine tenths of their bounds.
	strainLimit = 0.9

	// unknownMost is the number of milli-cores of fills on a host up to which one may join that isn't known to get on with the serving
	// tasks there, so that few are stopped if it disturbs them.
	unknownMost = 20_000

	// gentleShare is the share of a host's processors that gentle fills may take beside serving tasks, and gentleStrain the
	// strain up to which they may join.
	gentleShare  = 0.25
	gentleStrain = 0.7

	// sameImageGain ranks hosts for a serving task: those that serve its image only, then those that serve nothing, then
	// the others.
	sameImageGain = 1_000_000

	// remoteCost is what a foreign rack costs a task that has its data elsewhere, in milli-cores of spare: it doubles
	// the work.
	remoteCost = 32_000
	// suspectCost keeps tasks from suspect hosts while others have room.
	suspectCost = 200_000
	// gentleCost is what a strain of 1 costs a gentle fill, in milli-cores of spare.
	gentleCost = 100_000
	// servingCost keeps fills from hosts with serving tasks while others have spare processors.
	servingCost = 20_000
	// unknownCost keeps fills from serving tasks of which it isn't known whether they get on.
	unknownCost = 60_000
)

// HasRoom reports whether a host has what a task needs, whatever its neighbours.
func HasRoom(demand Demand, h *Host) bool {
	return demand.Need.Fits(h.Free) && (demand.Kind != Fill || h.Spare >= demand.Processors)
}

// Score rates a host for a task; the highest is best. It returns false when the host can't take the task.
func Score(demand Demand, h *Host) (score int64, ok bool) {
	if !HasRoom(demand, h) {
		return 0, false
	}
	switch demand.Kind {
	case Serving:
		// Fullest first among hosts that serve the same image, so that a fill has few images to get on with.
		score = -h.Free.Processors
		switch {
		case h.Serving > 0 && !demand.Mixes:
			score += 2 * sameImageGain
		case h.Serving == 0:
			score += sameImageGain
		}
		score -= h.Fills // some of these might have to go
		if demand.Companions == disturbance.Harmful {
			score -= suspectCost
		}
	case Exact:
		score = h.Spare
	case Fill:
		if demand.Gentle {
			taken := float64(h.Gentle+demand.Processors) / float64(max(1, h.Processors))
			if h.Halted || h.Strain > gentleStrain || taken > gentleShare {
				return 0, false
			}
			return int64(-h.Strain*gentleCost) - h.Gentle, true
		}
		if h.Serving > 0 {
			if demand.Companions == disturbance.Harmful || h.Strain > strainLimit || h.Halted {
				return 0, false
			}
			if demand.Companions == disturbance.Unknown {
				if h.Fills >= unknownMost || demand.Unsure {
					return 0, false
				}
				score -= unknownCost
			}
			score -= servingCost
		}
		score -= h.Spare // fullest first, so that hosts stay free for serving tasks
	}
	if demand.DataRack != "" && demand.DataRack != h.Rack {
		score -= remoteCost
	}
	if h.Suspect {
		score -= suspectCost
	}
	return score, true
}
