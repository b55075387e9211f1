package workload

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// assigned returns a state with a worker, and with runs that are assigned in the first epoch.
func assigned(t *testing.T, runs uint32) *State {
	t.Helper()
	s := New()
	s.applyAll(t, 0, &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{Id: "w", BornMs: 1, Address: "h:1"}}}, beginEpoch())
	s.assign(t, 0, runs)
	return s
}

func beginEpoch() *controlpb.WorkChange {
	return &controlpb.WorkChange{Kind: &controlpb.WorkChange_BeginEpoch{BeginEpoch: &controlpb.BeginEpoch{}}}
}

// applyAll applies accepted changes in a batch that tells which assignments are settled.
func (s *State) applyAll(t *testing.T, settled uint64, changes ...*controlpb.WorkChange) {
	t.Helper()
	for _, result := range s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{Changes: changes, SettledAssignments: settled}).GetResults() {
		if result.GetCode() != controlpb.ResultCode_RESULT_OK {
			t.Fatal(result.GetMessage())
		}
	}
}

// assign assigns runs of new tasks.
func (s *State) assign(t *testing.T, settled uint64, runs uint32) {
	t.Helper()
	job := string(rune('a' + len(s.jobs)))
	changes := []*controlpb.WorkChange{{Kind: &controlpb.WorkChange_Submit{Submit: &controlpb.WorkJob{Id: job, Steps: []*controlpb.WorkStep{{Count: runs}}}}}}
	for i := range runs {
		changes = append(changes, &controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: &controlpb.StartRun{Task: TaskKey{Job: job, Index: i}.Ref(), Run: 1, Worker: 1}}})
	}
	s.applyAll(t, settled, changes...)
}

// restored returns a state that is restored from a snapshot, which an earlier version has written if it is set.
func restored(t *testing.T, s *State, earlier bool) *State {
	t.Helper()
	snapshot := proto.CloneOf(s.Snapshot())
	if earlier {
		snapshot.Assignments, snapshot.Epochs = 0, nil
		for _, job := range snapshot.GetJobs() {
			for _, task := range job.GetTasks() {
				for _, r := range task.GetRuns() {
					r.Assignment = 0
				}
			}
		}
	}
	other := New()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return other
}

// Numbers of assignments, and up to which they are settled, must not depend on whether a replica has applied the log or a snapshot.
func TestAssignmentsOfSnapshot(t *testing.T) {
	applied := assigned(t, 3)
	applied.assign(t, applied.Assignments()-1, 2)
	other := restored(t, applied, false)
	for _, s := range []*State{applied, other} {
		s.assign(t, 0, 1)
	}
	if !proto.Equal(applied.Snapshot(), other.Snapshot()) {
		t.Error("the states differ")
	}
	if settled := other.SettledAssignments(); settled != other.Task(TaskKey{Job: "a", Index: 1}).Assignment(1) {
		t.Errorf("assignments are settled up to %d", settled)
	}
}

// A batch that is committed late must not take back what a later one has told.
func TestSettledAssignmentsGrow(t *testing.T) {
	s := assigned(t, 3)
	newest := s.Assignments()
	s.applyAll(t, newest)
	s.applyAll(t, newest-1)
	s.applyAll(t, 0)
	if settled := s.SettledAssignments(); settled != newest {
		t.Errorf("assignments are settled up to %d, expected %d", settled, newest)
	}
}

// Replicas that have restored different snapshots of an earlier version must agree on which assignments of later epochs are settled, and
// hold none of their snapshots for settled.
func TestAssignmentsOfEarlierSnapshots(t *testing.T) {
	applied := assigned(t, 3)
	early := restored(t, applied, true)
	for _, s := range []*State{applied, early} {
		s.assign(t, 0, 2)
	}
	late := restored(t, applied, true)
	for _, s := range []*State{applied, early, late} {
		for _, job := range []string{"a", "b"} {
			if s.Task(TaskKey{Job: job}).Assignment(1) <= s.SettledAssignments() {
				t.Errorf("the run of %s is settled", job)
			}
		}
		s.applyAll(t, 0, beginEpoch())
		s.assign(t, s.Assignments(), 2)
		s.applyAll(t, s.Assignments())
		s.assign(t, 0, 1)
		s.applyAll(t, s.Assignments()-1, beginEpoch())
		for job, unsettled := range map[string]bool{"a": true, "b": true, "c": false, "d": true} {
			if _, got := s.UnsettledSince(s.Task(TaskKey{Job: job}).Assignment(1)); got != unsettled {
				t.Errorf("the run of %s is unsettled: %v, expected %v", job, got, unsettled)
			}
		}
		if s.Assignments() != applied.Assignments() {
			t.Errorf("the newest assignment is %d, expected %d", s.Assignments(), applied.Assignments())
		}
	}
}

// tellAnswered applies a batch that tells of answered assignments, by their count in the first epoch.
func (s *State) tellAnswered(through uint64, settled uint64, open ...uint32) {
	s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{
		AnsweredAssignments: &controlpb.AnsweredAssignments{Through: AssignmentsBefore(1) + through, Open: open}, SettledAssignments: settled,
	})
}

// expectUnsettled begins an epoch, and fails the test unless exactly the given tasks of the first job are unsettled.
func (s *State) expectUnsettled(t *testing.T, expected ...uint32) {
	t.Helper()
	s.applyAll(t, 0, beginEpoch())
	var unsettled []uint32
	for _, task := range s.Job("a").Steps(0)[0].Tasks {
		if _, isUnsettled := s.UnsettledSince(task.Assignment(1)); isUnsettled {
			unsettled = append(unsettled, task.Index)
		}
	}
	if !slices.Equal(unsettled, expected) {
		t.Errorf("unsettled tasks: %v, expected %v", unsettled, expected)
	}
}

// Runs without an answer, and those beyond what was told, must stay unsettled, whether a replica has applied the log or a snapshot.
func TestAnsweredAssignments(t *testing.T) {
	for name, test := range map[string]struct {
		tell     func(s *State)
		expected []uint32
	}{
		"nothing":         {func(*State) {}, []uint32{0, 1, 2, 3, 4}},
		"some":            {func(s *State) { s.tellAnswered(4, 0, 2) }, []uint32{1, 4}},
		"older":           {func(s *State) { s.tellAnswered(4, 0, 2); s.tellAnswered(3, 0) }, []uint32{1, 4}},
		"older, same":     {func(s *State) { s.tellAnswered(4, 0, 2); s.tellAnswered(4, 0, 3, 2) }, []uint32{1, 4}},
		"newer":           {func(s *State) { s.tellAnswered(4, 0, 2); s.tellAnswered(5, 0, 2) }, []uint32{2}},
		"newer, same":     {func(s *State) { s.tellAnswered(4, 0, 3, 2); s.tellAnswered(4, 0, 2) }, []uint32{1, 4}},
		"settled by age":  {func(s *State) { s.tellAnswered(4, AssignmentsBefore(1)+2, 3, 1) }, []uint32{2, 4}},
		"of another one":  {func(s *State) { s.tellAnswered(1<<assignmentBits+4, 0) }, []uint32{0, 1, 2, 3, 4}},
		"all of them old": {func(s *State) { s.tellAnswered(3, AssignmentsBefore(1)+5, 1) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			applied := assigned(t, 5)
			test.tell(applied)
			other := restored(t, applied, false)
			earlier := restored(t, applied, true)
			for _, s := range []*State{applied, other} {
				s.expectUnsettled(t, test.expected...)
			}
			if !proto.Equal(applied.Snapshot(), other.Snapshot()) {
				t.Error("the states differ")
			}
			earlier.expectUnsettled(t, 0, 1, 2, 3, 4)
		})
	}
}

// What the next leader needn't know any more must not stay in the state.
func TestOpenAssignmentsAreForgotten(t *testing.T) {
	s := assigned(t, 5)
	s.tellAnswered(5, 0, 4, 3, 1)
	s.applyAll(t, AssignmentsBefore(1)+2)
	if open := s.AnsweredAssignments().GetOpen(); !slices.Equal(open, []uint32{1}) {
		t.Errorf("open below the newest answered one: %v, expected 1", open)
	}
}
