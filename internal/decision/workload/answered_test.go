package workload

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// The time by which a worker has answered must be that of its first run, whatever is assigned or announced later, and must not pass to
// a later incarnation.
func TestAnsweredBy(t *testing.T) {
	s := New()
	put := func(born, memory int64) {
		s.applyAll(t, 0, &controlpb.WorkChange{Kind: &controlpb.WorkChange_PutWorker{PutWorker: &controlpb.WorkerLife{
			Id: "w", BornMs: born, Address: "h:1", Memory: memory, ReusesId: true, AnsweredByMs: proto.Int64(7),
		}}})
	}
	pass := func(led time.Duration) {
		s.Apply(time.Unix(1_000_000, 0), &controlpb.WorkBatch{LedMs: led.Milliseconds()})
	}
	expect := func(known bool, ms int64) {
		t.Helper()
		for _, state := range []*State{s, restored(t, s, false)} {
			if w := state.WorkerByID("w"); (w.AnsweredByMs != nil) != known || w.GetAnsweredByMs() != ms {
				t.Errorf("%v: expected to have answered: %v, by %d ms", w.WorkerLife, known, ms)
			}
		}
	}
	put(1, 4)
	s.applyAll(t, 0, beginEpoch())
	expect(false, 0)
	pass(time.Second)
	s.assign(t, 0, 1)
	expect(true, 1000)
	pass(2 * time.Second)
	s.assign(t, 0, 1)
	put(1, 5)
	expect(true, 1000)
	put(2, 5)
	expect(false, 0)
}
