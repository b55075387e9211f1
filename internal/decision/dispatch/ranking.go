package dispatch

import "cmp"

// compareCandidates orders steps with waiting tasks, the most urgent first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), compareShares(a, b), cmp.Compare(a.timeliness, b.timeliness),
		compareInterrupted(a, b), a.due.Compare(b.due))
}

// compareInterrupted orders steps with interrupted tasks before the others. Their jobs may have been accepted later than one that has
// waited for more room than any host had.
func compareInterrupted(a, b candidate) int { return compareTrueFirst(a.interrupted, b.interrupted) }

// compareTrueFirst orders what has a property before what hasn't.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
