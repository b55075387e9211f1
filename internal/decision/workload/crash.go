package workload

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
)

// A task is given up, or paused if it is perpetual, after as many crashes as its queue allows attempts if the latest one shows that it is to blame, and
// without that after maxSuspicions, if as many of them are certain as its queue allows attempts.
const (
	minCrashes    = 2 // also if the queue allows fewer attempts, as one crash may be a coincidence
	minSuspicions = 4 // if the latest one shows it, including crashes for which it isn't certain that the task had started
	maxSuspicions = 5 // if none shows it, including such crashes
)

// Pauses of perpetual tasks under which workers crash. Each start after one may crash a worker again, with the runs of others.
const (
	firstPause        = time.Minute
	maxPause          = 5 * time.Minute
	maxPauseDoublings = 3
)

const (
	// CrashWindow is the time within which crashes of workers are counted to tell how rare they are.
	CrashWindow = 12 * time.Second

	// maxCrashes bounds the recent crashes. The oldest ones are dropped when the limit is reached.
	maxCrashes = 1 << 14
)

// Crashes returns the crashes of workers within CrashWindow of Elapsed, oldest first. The result must not be changed.
func (s *State) Crashes() []*controlpb.WorkerCrash { return s.crashes }

// pruneCrashes forgets the crashes that aren't recent any more.
func (s *State) pruneCrashes() {
	oldest := s.elapsedMs - CrashWindow.Milliseconds()
	for len(s.crashes) > maxCrashes || len(s.crashes) > 0 && s.crashes[0].GetElapsedMs() < oldest {
		s.crashes = s.crashes[1:]
	}
}

// recordCrash counts a crash of a worker for the tasks that may have caused it, and gives up those that are to blame.
func (s *State) recordCrash(suspects []*controlpb.CrashSuspect) {
	for _, suspect := range suspects {
		t := s.Task(TaskKeyFromRef(suspect.GetTask()))
		if t == nil || t.Done || t.Step.Job.IsTerminal() {
			continue
		}
		if suspect.GetStarted() {
			t.Crashes++
		} else {
			t.Suspicions++
		}
		allowed := max(minCrashes, s.queues[t.Step.Job.Spec.GetQueue()].GetMaxAttempts())
		total := t.Crashes + t.Suspicions
		isProven := suspect.GetIsolated() && (t.Crashes >= allowed || total >= max(minSuspicions, allowed))
		if isProven || t.Crashes >= allowed && total >= max(maxSuspicions, allowed) {
			s.giveUp(t)
		}
	}
}

// forgetCrashes resets the counts of a task of which a run has worked: those crashes had other causes.
func (s *State) forgetCrashes(change *controlpb.ForgetCrashes) *controlpb.Result {
	t := s.Task(TaskKeyFromRef(change.GetTask()))
	if t == nil {
		return &controlpb.Result{}
	}
	t.Crashes, t.Suspicions, t.Pauses, t.PausedUntilMs = 0, 0, 0, 0
	if t.Step.GetGang() { // it works only with all members
		for _, member := range t.Step.Tasks {
			member.Pauses, member.PausedUntilMs = 0, 0
		}
	}
	return &controlpb.Result{}
}

// giveUp fails the job of a task under which workers crash. A perpetual task is paused instead, with the rest of its gang: it has no
// limit of attempts, and the crashes may have had other causes.
func (s *State) giveUp(t *Task) {
	switch {
	case !t.Step.GetPerpetual():
		t.Step.Job.Failed = true
		s.finalizeJob(t.Step.Job)
	case t.Step.GetGang() && t.PausedUntilMs > s.time: // for another member that the crash is counted for
	case t.Step.GetGang():
		for _, member := range t.Step.Tasks {
			s.pause(member)
		}
	default:
		s.pause(t)
	}
}

// pause keeps a task from starting for a time that doubles with each pause until the task has worked.
func (s *State) pause(t *Task) {
	length := min(firstPause<<min(t.Pauses, maxPauseDoublings), maxPause)
	t.Pauses++
	t.PausedUntilMs = s.time + length.Milliseconds()
}

// settleLosses decides about lost workers whose end wasn't certain, now that an incarnation is there under the ID or address of
// one: a later incarnation shows that it has crashed.
func (s *State) settleLosses(incarnation *controlpb.WorkerLife) {
	suspects := s.LossSuspects(incarnation)
	maps.DeleteFunc(s.unsettled, func(_ string, loss *controlpb.UnsettledLoss) bool {
		return loss.GetAddress() == incarnation.GetAddress() || loss.GetId() == incarnation.GetId()
	})
	s.recordCrash(suspects)
}

// LossSuspects returns the tasks that may have crashed those lost workers that a new incarnation shows to have crashed.
func (s *State) LossSuspects(incarnation *controlpb.WorkerLife) []*controlpb.CrashSuspect {
	var suspects []*controlpb.CrashSuspect
	for _, address := range slices.Sorted(maps.Keys(s.unsettled)) {
		loss := s.unsettled[address]
		isSame := loss.GetId() == incarnation.GetId()
		if isSame && loss.GetBornMs() < incarnation.GetBornMs() || !isSame && address == incarnation.GetAddress() {
			suspects = append(suspects, loss.GetSuspects()...)
		}
	}
	return suspects
}
