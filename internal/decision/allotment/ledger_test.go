package allotment

import (
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// Guards against a count of tasks that exceeds a limit or leaves room for one more.
func TestRoomIsExact(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("as many tasks as there is room for, and no more", prop.ForAll(
		func(limit, used, need int64) bool {
			account := &controlpb.ClientAccount{Name: "a", Processors: limit}
			l := New()
			l.Charge("a", resource.Vector{Processors: used}, 1)
			room := int64(l.Room(account, resource.Vector{Processors: need}, resource.Vector{}))
			return (room == 0 || used+room*need <= limit) && used+(room+1)*need > limit
		}, gen.Int64Range(1, 1000), gen.Int64Range(0, 1500), gen.Int64Range(1, 100)))
	properties.TestingRun(t)
}

// Guards against limits of resources that a task doesn't need, and against a limit where there is none.
func TestOnlyNeededResourcesLimit(t *testing.T) {
	l := New()
	l.Charge("a", resource.Vector{Processors: 10, Accelerators: 4}, 1)
	for _, c := range []struct {
		account  *controlpb.ClientAccount
		need     resource.Vector
		reserved resource.Vector
		room     int
	}{
		{&controlpb.ClientAccount{Name: "a"}, resource.Vector{Processors: 1}, resource.Vector{}, math.MaxInt},
		{&controlpb.ClientAccount{Name: "a", Accelerators: 2}, resource.Vector{Processors: 1}, resource.Vector{}, math.MaxInt},
		{&controlpb.ClientAccount{Name: "a", Accelerators: 2}, resource.Vector{Accelerators: 1}, resource.Vector{}, 0},
		{&controlpb.ClientAccount{Name: "a", Processors: 16}, resource.Vector{Processors: 2}, resource.Vector{Processors: 2}, 2},
		{nil, resource.Vector{Processors: 1}, resource.Vector{}, math.MaxInt},
	} {
		if room := l.Room(c.account, c.need, c.reserved); room != c.room {
			t.Errorf("%v: room for %d tasks of %v, expected %d", c.account, room, c.need, c.room)
		}
	}
}

// Guards against use that remains after the last task has ended.
func TestUseEndsWithTheLastTask(t *testing.T) {
	l, need := New(), resource.Vector{Processors: 3, Memory: 5}
	account := &controlpb.ClientAccount{Name: "a", Processors: 5}
	l.Charge("a", need, 1)
	l.Charge("a", need, 1)
	if !l.Exceeds(account) {
		t.Error("two tasks don't exceed the limit")
	}
	l.Charge("a", need, -1)
	if l.Exceeds(account) {
		t.Error("one task exceeds the limit")
	}
	if l.Charge("a", need, -1); !l.Use("a").IsZero() || len(l.used) != 0 {
		t.Errorf("use %v after the last task", l.Use("a"))
	}
}
