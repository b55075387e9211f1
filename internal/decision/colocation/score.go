// Package colocation scores hosts for tasks that share them: serving tasks with a latency target, tasks with dedicated
// processors, and best-effort tasks, which use the remaining processors.
//
// Some best-effort tasks interfere with some serving tasks, and they arrive in bursts while hosts are full of serving tasks.
// Serving tasks are therefore packed on few hosts. Best-effort tasks go first to hosts without serving tasks, then beside
// serving tasks that they are known not to interfere with, and last, a few at a time, beside those where this is unknown.
// Each best-effort task raises the tail latency of the serving tasks beside it a little, so that many on one host exceed
// a target that the same number on several hosts keeps: beside serving tasks they go to the roomiest host.
package colocation

import (
	"galenamoor/internal/decision/imagepair"
	"galenamoor/pkg/resource"
)

// Kind classifies a task by its use of processors.
type Kind int

// Kinds of tasks.
const (
	Dedicated  Kind = iota // has dedicated processors
	Serving                // has dedicated processors and a latency target
	BestEffort             // uses the processors that other tasks leave idle, reserves none
)

// Demand describes the requirements of a task on a host.
type Demand struct {
	Kind            Kind
	Need            resource.Vector  // reserved capacity; a best-effort task reserves no processors
	Processors      int64            // milli-cores that a best-effort task can use
	MixesImages     bool             // the host already serves other images than that of this serving task
	KeepsEmptyHosts bool             // a serving task should leave the hosts without serving tasks to dedicated tasks
	TrialBlocked    bool             // no further trial of an unknown pair of images may start on the host
	Throttled       int64            // milli-cores that a best-effort task may use at such low speed that it interferes little; 0 at full speed
	DataRack        string           // rack that holds the task's data; empty for none
	WorstRating     imagepair.Rating // worst rating of the task with the tasks that run on the host
}

// Host is the state of a candidate host.
type Host struct {
	Free                 resource.Vector // unreserved capacity
	Spare                int64           // milli-cores that no task on the host is expected to use
	ServingTasks         int             // number of serving tasks
	BestEffortProcessors int64           // milli-cores that best-effort tasks use
	LatencyRatio         float64         // highest tail latency of a serving task divided by its latency target; 0 when unknown
	Paused               bool            // its best-effort tasks are paused to protect serving tasks

	Processors          int64 // total milli-cores of the host
	ThrottledProcessors int64 // milli-cores that throttled best-effort tasks may use (Demand.Throttled)
	Unmeasured          bool  // LatencyRatio doesn't show yet the effect of a throttled task that has started

	Rack          string
	Suspect       bool // has recently failed or delayed runs
	IgnoresStarts bool // has recently answered no starts
}

const (
	// maxLatencyRatio is the latency ratio of a serving task above which no further best-effort task joins it. Serving load
	// alone can raise the tail latency to 0.9 of the latency target.
	maxLatencyRatio = 0.9

	// maxBestEffortForUnknown is the use of best-effort tasks, in milli-cores, from which a host with serving tasks accepts
	// no further best-effort task with an unknown rating, so that few have to be stopped if it is harmful.
	maxBestEffortForUnknown = 20_000

	// maxThrottledShare is the share of a host's processors that throttled best-effort tasks may use beside serving
	// tasks, and maxThrottledLatencyRatio the latency ratio up to which one may join.
	maxThrottledShare        = 0.25
	maxThrottledLatencyRatio = 0.7

	// sameImageBonus ranks the hosts for a serving task: hosts that serve only its image, then hosts that serve nothing, then
	// the others. The last two change places if the task should keep empty hosts free.
	sameImageBonus = 1_000_000

	// remoteRackPenalty applies outside the rack of a task's data, in milli-cores of spare: remote data doubles the work.
	remoteRackPenalty = 32_000
	// suspectPenalty ranks suspect hosts behind all others.
	suspectPenalty = 200_000
	// ignoresStartsPenalty ranks hosts that answer no starts behind all others, whatever those run.
	ignoresStartsPenalty = 4 * sameImageBonus
	// harmfulPairPenalty makes a serving task avoid a best-effort task that would have to be stopped for it, in milli-cores
	// of free capacity. It is small, because a serving task that isn't packed tightly leaves gaps too small for others.
	harmfulPairPenalty = 2000
	// throttledLatencyRatioPenalty applies to a throttled best-effort task per latency ratio of 1, in milli-cores of spare.
	throttledLatencyRatioPenalty = 100_000
	// servingPenalty keeps best-effort tasks off hosts with serving tasks while others have spare processors, of which a
	// host has fewer.
	servingPenalty = 200_000
	// unknownPenalty keeps best-effort tasks away from serving tasks that they may interfere with.
	unknownPenalty = 60_000
)

// HasRoom reports whether a host has the capacity for a task, regardless of interference.
func HasRoom(demand Demand, h *Host) bool {
	return demand.Need.Fits(h.Free) && (demand.Kind != BestEffort || h.Spare >= demand.Processors)
}

// Score rates a host for a task; the highest score is best. It returns false if the host can't accept the task.
func Score(demand Demand, h *Host) (score int64, ok bool) {
	if !HasRoom(demand, h) {
		return 0, false
	}
	switch demand.Kind {
	case Serving:
		// Fullest first among hosts that serve the same image, so that a best-effort task has few images beside it.
		score = -h.Free.Processors
		switch {
		case h.ServingTasks > 0 && !demand.MixesImages:
			score += 2 * sameImageBonus
		case (h.ServingTasks > 0) == demand.KeepsEmptyHosts:
			score += sameImageBonus
		}
		if demand.WorstRating == imagepair.Harmful {
			score -= harmfulPairPenalty
		}
	case Dedicated:
		score = h.Spare
	case BestEffort:
		if demand.Throttled > 0 {
			throttledShare := float64(h.ThrottledProcessors+demand.Throttled) / float64(max(1, h.Processors))
			if h.Unmeasured || h.Paused || h.LatencyRatio > maxThrottledLatencyRatio || throttledShare > maxThrottledShare {
				return 0, false
			}
			return int64(-h.LatencyRatio*throttledLatencyRatioPenalty) - h.ThrottledProcessors, true
		}
		if h.ServingTasks > 0 {
			if demand.WorstRating == imagepair.Harmful || h.LatencyRatio > maxLatencyRatio || h.Paused {
				return 0, false
			}
			if demand.WorstRating == imagepair.Unknown {
				if h.BestEffortProcessors >= maxBestEffortForUnknown || demand.TrialBlocked {
					return 0, false
				}
				score -= unknownPenalty
			}
			score += h.Spare - servingPenalty
		} else {
			score -= h.Spare // fullest first, so that hosts stay free for serving tasks
		}
	}
	if demand.DataRack != "" && demand.DataRack != h.Rack {
		score -= remoteRackPenalty
	}
	if h.Suspect {
		score -= suspectPenalty
	}
	if h.IgnoresStarts {
		score -= ignoresStartsPenalty
	}
	return score, true
}
