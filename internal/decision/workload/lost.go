package workload

import (
	"cmp"
	"maps"
	"slices"

	"galenamoor/internal/controlpb"
)

// rememberLost remembers a worker whose incarnation has ended, so that a later one is known to reuse its ID.
func (s *State) rememberLost(w *Worker) {
	if len(s.lostWorkers) >= maxLost {
		s.forgetOldestLost(maxLost / 4)
	}
	s.lostWorkers[w.GetId()] = &controlpb.LostWorker{Id: w.GetId(), BornMs: w.GetBornMs(), ReusesId: w.GetReusesId(), ElapsedMs: s.elapsedMs, FollowsUnknownStart: w.GetFollowsUnknownStart()}
}

// forgetOldestLost forgets the lost workers that ended first: late calls for those have arrived.
func (s *State) forgetOldestLost(count int) {
	lost := slices.SortedFunc(maps.Values(s.lostWorkers), func(a, b *controlpb.LostWorker) int {
		return cmp.Or(cmp.Compare(a.GetElapsedMs(), b.GetElapsedMs()), cmp.Compare(a.GetId(), b.GetId()))
	})
	for _, w := range lost[:min(count, len(lost))] {
		delete(s.lostWorkers, w.GetId())
	}
}

// lostByID returns the lost workers ordered by ID.
func (s *State) lostByID() []*controlpb.LostWorker {
	return slices.SortedFunc(maps.Values(s.lostWorkers), func(a, b *controlpb.LostWorker) int { return cmp.Compare(a.GetId(), b.GetId()) })
}

// restoreLost restores the lost workers of a snapshot. One of an earlier version doesn't tell which of them had reused their ID, so all
// count as such.
func (s *State) restoreLost(snapshot *controlpb.WorkSnapshot) {
	for id, bornMs := range snapshot.GetGivenUp() {
		s.lostWorkers[id] = &controlpb.LostWorker{Id: id, BornMs: bornMs, ReusesId: true, ElapsedMs: s.elapsedMs}
	}
	for _, w := range snapshot.GetLostWorkers() {
		s.lostWorkers[w.GetId()] = w
	}
}
