package dispatch

import (
	"iter"
	"time"

	"galenamoor/internal/decision/workload"
)

// One job may have as many steps as others have tasks. If a pass tried to place all steps that wait, it would take longer than an election
// timeout, and so would that of each successor. A pass therefore tries a window of each job's steps. The window moves on once a
// pass has tried all of it, so that steps that fit nowhere don't keep the ones behind them from starting.

const (
	// maxCandidates is the number of steps that a pass tries to place, shared equally among the jobs with waiting steps.
	maxCandidates = 2048

	// minWindow is the size of a job's window if more jobs wait than maxCandidates allows for. Most jobs have fewer steps.
	minWindow = 16
)

// stepWindows holds the windows of the jobs that have more waiting steps than a pass tries.
type stepWindows struct {
	starts map[*workload.Job]int // position of the first step of the window; the beginning if there is none
	ends   map[*workload.Job]int // position of the first step behind the window, as of the newest call of steps
}

func newStepWindows() stepWindows {
	return stepWindows{starts: map[*workload.Job]int{}, ends: map[*workload.Job]int{}}
}

// steps returns the steps in the windows of the unfinished jobs among jobs.
func (s *stepWindows) steps(jobs []*workload.Job, now time.Time) iter.Seq[*workload.Step] {
	clear(s.ends)
	var waiting []*workload.Job
	for _, job := range jobs {
		if !job.IsTerminal() && job.HasWaiting(now) {
			waiting = append(waiting, job)
		}
	}
	size := max(minWindow, maxCandidates/max(1, len(waiting)))
	return func(yield func(*workload.Step) bool) {
		for _, job := range waiting {
			if !s.yieldWindow(job, now, size, yield) {
				return
			}
		}
	}
}

// yieldWindow yields the steps in the window of a job, which continues at the first step behind the last one. It returns false if yield
// does.
func (s *stepWindows) yieldWindow(job *workload.Job, now time.Time, size int, yield func(*workload.Step) bool) bool {
	start, taken := s.starts[job], 0
	for position, step := range job.WaitingSteps(now, start) {
		if taken == size {
			s.ends[job] = position
			return true
		}
		if taken++; !yield(step) {
			return false
		}
	}
	for position, step := range job.WaitingSteps(now, 0) {
		if position >= start {
			return true
		}
		if taken == size {
			s.ends[job] = position
			return true
		}
		if taken++; !yield(step) {
			return false
		}
	}
	return true
}

// advance moves the windows behind the steps that the newest call of steps returned, except those of which some weren't tried.
func (s *stepWindows) advance(untried []candidate) {
	for _, c := range untried {
		if _, isPartial := s.ends[c.step.Job]; isPartial {
			s.ends[c.step.Job] = s.starts[c.step.Job]
		}
	}
	s.starts, s.ends = s.ends, s.starts
	clear(s.ends)
}
