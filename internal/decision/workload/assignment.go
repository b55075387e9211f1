package workload

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

const (
	// assignmentBits is the number of low bits of an assignment's number that count the assignments of an epoch; the others are the
	// epoch. Replicas that have restored different snapshots of an earlier version, which have no such numbers, agree from the next
	// epoch on.
	assignmentBits = 32

	// epochRetention is how long after the end of an epoch its calls matter: far longer than a call may be late and any lease lasts.
	epochRetention = time.Minute

	// maxEpochs bounds the epochs whose unsettled assignments are known.
	maxEpochs = 256

	// MaxUnanswered bounds the unanswered assignments of an epoch that are known. Beyond that none of its assignments counts as answered.
	MaxUnanswered = 1024
)

// Assignments returns the number of the newest assignment of a run. It grows with each assignment and each epoch.
func (s *State) Assignments() uint64 { return s.assignments }

// SettledAssignments returns the highest number up to which the leader of the latest epoch has told that its assignments are settled.
func (s *State) SettledAssignments() uint64 {
	if n := len(s.epochs); n > 0 {
		return s.epochs[n-1].GetSettled()
	}
	return 0
}

// AnsweredAssignments returns which assignments the leader of the latest epoch has told to be settled because their starts were answered.
// The result must not be changed.
func (s *State) AnsweredAssignments() *controlpb.AnsweredAssignments {
	if n := len(s.epochs); n > 0 {
		return s.epochs[n-1].GetAnswered()
	}
	return nil
}

// AssignmentsBefore returns a number that is below those of all assignments of an epoch, and above those of earlier ones.
func AssignmentsBefore(epoch uint64) uint64 { return epoch << assignmentBits }

// UnsettledSince reports whether the leader that made an assignment fell before the assignment was settled. It returns what Elapsed was
// when the next leader had begun.
func (s *State) UnsettledSince(assignment uint64) (elapsed time.Duration, unsettled bool) {
	i := slices.IndexFunc(s.epochs, func(e *controlpb.EpochAssignments) bool { return e.GetEpoch() == assignment>>assignmentBits })
	if i < 0 || i+1 == len(s.epochs) || isSettled(s.epochs[i], assignment) {
		return 0, false
	}
	return time.Duration(s.epochs[i+1].GetElapsedMs()) * time.Millisecond, true
}

// isSettled reports whether an assignment of an epoch is settled.
func isSettled(epoch *controlpb.EpochAssignments, assignment uint64) bool {
	if assignment <= epoch.GetSettled() {
		return true
	}
	answered := epoch.GetAnswered()
	return assignment <= answered.GetThrough() && !slices.Contains(answered.GetOpen(), uint32(answered.GetThrough()-assignment))
}

// beginAssignments begins the assignments of an epoch, and forgets the epochs that don't matter any more.
func (s *State) beginAssignments() {
	s.noteAnsweredStarts()
	s.assignments = AssignmentsBefore(s.epoch)
	s.epochs = append(s.epochs, &controlpb.EpochAssignments{Epoch: s.epoch, ElapsedMs: s.elapsedMs, BoundCalls: s.newestEpoch.GetBoundCalls()})
	for len(s.epochs) > maxEpochs || s.isEpochOver(0) {
		s.epochs = s.epochs[1:]
	}
}

// isEpochOver reports whether the calls of a known epoch, by its index, don't matter any more.
func (s *State) isEpochOver(index int) bool {
	return index+1 < len(s.epochs) && s.epochs[index+1].GetElapsedMs()+epochRetention.Milliseconds() <= s.elapsedMs
}

// HasUnboundCalls reports whether calls may still take effect that reach other incarnations of a worker than the one that they name: some
// leader of the last minute hasn't told that its calls are bound to incarnations.
func (s *State) HasUnboundCalls() bool {
	for i, e := range s.epochs {
		if !e.GetBoundCalls() && !s.isEpochOver(i) {
			return true
		}
	}
	return false
}

// renewAssignment numbers the assignment of a live run anew.
func (s *State) renewAssignment(change *controlpb.RenewAssignment) *controlpb.Result {
	if t := s.Task(TaskKeyFromRef(change.GetTask())); t != nil {
		if r := t.liveRun(change.GetRun()); r != nil {
			s.assignments++
			r.Assignment, r.startAnswered = s.assignments, false
			return &controlpb.Result{}
		}
	}
	return errorResult(controlpb.ResultCode_RESULT_REJECTED, "the run isn't live")
}

// settle records what the leader of the latest epoch has told.
func (s *State) settle(batch *controlpb.WorkBatch) {
	if len(s.epochs) == 0 {
		return
	}
	e := s.epochs[len(s.epochs)-1]
	if number := batch.GetSettledAssignments(); number>>assignmentBits == e.GetEpoch() {
		s.settleByAge(e, number, batch.GetUnansweredAssignments())
	}
	if told := batch.GetAnsweredAssignments(); told.GetThrough()>>assignmentBits == e.GetEpoch() && tellsMore(told, e.GetAnswered()) {
		e.Answered = proto.CloneOf(told)
	}
	if answered := e.GetAnswered(); answered != nil {
		for len(answered.GetOpen()) > 0 && answered.GetThrough()-uint64(answered.GetOpen()[0]) <= e.GetSettled() {
			answered.Open = answered.GetOpen()[1:]
		}
	}
}

// settleByAge settles the assignments of an epoch up to a number. A leader tells the unanswered ones above the number of its state as of the
// proposal, which may have grown since.
func (s *State) settleByAge(e *controlpb.EpochAssignments, number uint64, unanswered *controlpb.UnansweredAssignments) {
	if number <= e.GetSettled() {
		return
	}
	if unanswered != nil && e.GetUnansweredThrough() == e.GetSettled() {
		for _, u := range unanswered.GetNumbers() {
			if u > e.GetSettled() && u <= number {
				e.Unanswered = append(e.Unanswered, u)
			}
		}
		s.pruneUnanswered(e)
		if len(e.GetUnanswered()) <= MaxUnanswered {
			e.UnansweredThrough = number
		}
	}
	e.Settled = number
	if e.GetUnansweredThrough() != number {
		e.Unanswered = nil
	}
}

// pruneUnanswered forgets the unanswered assignments of runs that aren't live if there are too many.
func (s *State) pruneUnanswered(e *controlpb.EpochAssignments) {
	if len(e.GetUnanswered()) <= MaxUnanswered {
		return
	}
	live := map[uint64]bool{}
	s.forEachLiveRun(func(r *Run) { live[r.Assignment] = true })
	e.Unanswered = slices.DeleteFunc(e.GetUnanswered(), func(number uint64) bool { return !live[number] })
}

// forEachLiveRun calls visit for every live run, in no particular order.
func (s *State) forEachLiveRun(visit func(*Run)) {
	for _, w := range s.workers {
		for key, t := range w.Runs {
			if r := t.liveRun(key.Run); r != nil {
				visit(r)
			}
		}
	}
}

// noteAnsweredStarts notes which runs of the latest epoch have an answered start as the epoch ends.
func (s *State) noteAnsweredStarts() {
	if len(s.epochs) == 0 {
		return
	}
	e := s.epochs[len(s.epochs)-1]
	s.forEachLiveRun(func(r *Run) {
		if r.Assignment>>assignmentBits == e.GetEpoch() {
			r.startAnswered = isAnswered(e, r.Assignment)
		}
	})
	e.Unanswered = nil
}

// isAnswered reports whether an answer has settled an assignment of an epoch. Of those that are settled by age, only the list of unanswered
// ones tells this: the open ones among answered ones are forgotten then.
func isAnswered(epoch *controlpb.EpochAssignments, assignment uint64) bool {
	if assignment > epoch.GetSettled() {
		return isSettled(epoch, assignment)
	}
	_, isUnanswered := slices.BinarySearch(epoch.GetUnanswered(), assignment)
	return epoch.GetUnansweredThrough() == epoch.GetSettled() && !isUnanswered
}

// tellsMore reports whether a leader has told something after something else. What is settled stays so: the number grows, and for the same
// one, fewer assignments are open.
func tellsMore(told, before *controlpb.AnsweredAssignments) bool {
	if told.GetThrough() != before.GetThrough() {
		return told.GetThrough() > before.GetThrough()
	}
	return len(told.GetOpen()) < len(before.GetOpen())
}

// restoreAssignments restores the numbers of a snapshot. No assignment of one of an earlier version is settled.
func (s *State) restoreAssignments(snapshot *controlpb.WorkSnapshot) {
	s.assignments = snapshot.GetAssignments()
	for _, e := range snapshot.GetEpochs() {
		s.epochs = append(s.epochs, proto.CloneOf(e))
	}
	if s.assignments == 0 && s.epoch > 0 {
		s.assignments = s.epoch<<assignmentBits + 1
		s.epochs = []*controlpb.EpochAssignments{{Epoch: s.epoch, ElapsedMs: s.elapsedMs}}
	}
}
