package workload

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// settleByCount applies a batch that settles the assignments of the first epoch up to a count, and tells the unanswered ones among them.
func (s *State) settleByCount(settled uint64, unanswered ...uint64) {
	told := &controlpb.UnansweredAssignments{}
	for _, count := range unanswered {
		told.Numbers = append(told.Numbers, AssignmentsBefore(1)+count)
	}
	s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{SettledAssignments: AssignmentsBefore(1) + settled, UnansweredAssignments: told})
}

// answeredTasks returns which tasks of the first job have a run with an answered start.
func (s *State) answeredTasks() (answered []uint32) {
	for _, task := range s.Job("a").Steps(0)[0].Tasks {
		if task.IsStartAnswered(1) {
			answered = append(answered, task.Index)
		}
	}
	return answered
}

// A start must not count as answered because its assignment was settled by age, or because its leader told nothing of it, whether a replica
// has applied the log or a snapshot, and however many epochs have passed.
func TestStartAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		tell     func(t *testing.T, s *State)
		expected []uint32
	}{
		"nothing":          {func(*testing.T, *State) {}, nil},
		"settled":          {func(_ *testing.T, s *State) { s.settleByCount(3) }, []uint32{0, 1, 2}},
		"unanswered":       {func(_ *testing.T, s *State) { s.settleByCount(4, 1, 3) }, []uint32{1, 3}},
		"in two batches":   {func(_ *testing.T, s *State) { s.settleByCount(2, 1); s.settleByCount(5, 4) }, []uint32{1, 2, 4}},
		"overlapping":      {func(_ *testing.T, s *State) { s.settleByCount(3, 1, 2); s.settleByCount(4, 1, 2, 4) }, []uint32{2}},
		"late batch":       {func(_ *testing.T, s *State) { s.settleByCount(4, 2); s.settleByCount(1) }, []uint32{0, 2, 3}},
		"answered":         {func(_ *testing.T, s *State) { s.tellAnswered(4, 0, 2) }, []uint32{0, 2, 3}},
		"answered, age":    {func(_ *testing.T, s *State) { s.tellAnswered(4, 0, 3, 2); s.settleByCount(2, 1, 2) }, []uint32{2, 3}},
		"earlier version":  {func(t *testing.T, s *State) { s.applyAll(t, s.Assignments()) }, nil},
		"earlier, then no": {func(t *testing.T, s *State) { s.applyAll(t, AssignmentsBefore(1)+2); s.settleByCount(4) }, nil},
		"then earlier":     {func(t *testing.T, s *State) { s.settleByCount(2); s.applyAll(t, AssignmentsBefore(1)+4) }, nil},
		"renewed": {func(t *testing.T, s *State) {
			s.settleByCount(5)
			s.applyAll(t, 0, beginEpoch(), renewal(1))
		}, []uint32{0, 2, 3, 4}},
		"renewed, answered": {func(t *testing.T, s *State) {
			s.settleByCount(5, 2)
			s.applyAll(t, 0, beginEpoch(), renewal(1))
			s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{SettledAssignments: s.Assignments(), UnansweredAssignments: &controlpb.UnansweredAssignments{}})
		}, []uint32{0, 1, 2, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			applied := assigned(t, 5)
			test.tell(t, applied)
			other, earlier := restored(t, applied, false), restored(t, applied, true)
			for range 3 {
				for _, s := range []*State{applied, other} {
					s.applyAll(t, 0, beginEpoch())
					s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{LedMs: 2 * epochRetention.Milliseconds()})
					if answered := s.answeredTasks(); !slices.Equal(answered, test.expected) {
						t.Errorf("answered tasks: %v, expected %v", answered, test.expected)
					}
				}
				other = restored(t, other, false)
			}
			if !proto.Equal(applied.Snapshot(), other.Snapshot()) {
				t.Error("the states differ")
			}
			if name == "renewed" || name == "renewed, answered" {
				return
			}
			earlier.applyAll(t, 0, beginEpoch())
			if answered := earlier.answeredTasks(); answered != nil {
				t.Errorf("answered tasks after a snapshot of an earlier version: %v, expected none", answered)
			}
		})
	}
}

func renewal(index uint32) *controlpb.WorkChange {
	return &controlpb.WorkChange{Kind: &controlpb.WorkChange_RenewAssignment{RenewAssignment: &controlpb.RenewAssignment{Task: TaskKey{Job: "a", Index: index}.Ref(), Run: 1}}}
}

// No start may count as answered once there are more unanswered ones of live runs than are kept. Those of other runs must not add up to that.
func TestManyUnansweredStarts(t *testing.T) {
	for _, live := range []bool{true, false} {
		s := assigned(t, MaxUnanswered+6)
		var unanswered []uint64
		for count := range uint64(MaxUnanswered + 2) {
			unanswered = append(unanswered, count+1)
		}
		s.settleByCount(MaxUnanswered, unanswered[:MaxUnanswered]...)
		var expected []uint32
		if !live {
			expected = []uint32{MaxUnanswered + 2, MaxUnanswered + 3, MaxUnanswered + 4, MaxUnanswered + 5}
			var drops []*controlpb.WorkChange
			for i := range uint32(3) {
				drops = append(drops, &controlpb.WorkChange{Kind: &controlpb.WorkChange_DropRun{DropRun: &controlpb.DropRun{Task: TaskKey{Job: "a", Index: i}.Ref(), Run: 1}}})
			}
			s.applyAll(t, 0, drops...)
		}
		s.settleByCount(MaxUnanswered+6, unanswered[MaxUnanswered:]...)
		s.applyAll(t, 0, beginEpoch())
		if answered := s.answeredTasks(); !slices.Equal(answered, expected) {
			t.Errorf("live=%v: answered tasks: %v, expected %v", live, answered, expected)
		}
	}
}
