package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

const megabyte = 1 << 20

// TestReservations guards against large bodies that take the memory of ordinary ones, and against a body that is refused although nothing
// else is held.
func TestReservations(t *testing.T) {
	b := New(64*megabyte, 400, clockwork.NewFakeClock(), logr.Discard()) // 16 MiB for requests
	for _, step := range []struct {
		name        string
		held, bytes int64
		refused     func(error) bool // nil if the bytes are reserved
	}{
		{"beyond the budget, in one step", 0, 17 * megabyte, trace.IsBadParameter},
		{"beyond the budget, in steps", 15 * megabyte, 2 * megabyte, trace.IsBadParameter},
		{"large, into the last quarter, while others hold bytes", 0, 10 * megabyte, nil},
		{"large, second", 0, 3 * megabyte, trace.IsLimitExceeded},
		{"small", 0, firstBytes, nil},
		{"growing beyond the first bytes", firstBytes, 3 * megabyte, trace.IsLimitExceeded},
	} {
		if err := b.Reserve(step.held, step.bytes); (err == nil) != (step.refused == nil) || err != nil && !step.refused(err) {
			t.Errorf("%s: got error %v", step.name, err)
		}
	}
	b.Release(10*megabyte + firstBytes)
	if err := b.Reserve(0, 16*megabyte); err != nil {
		t.Errorf("a request of the size of the budget was refused while nothing was held: %v", err)
	}
}

// TestConnections guards against bounds that exceed the descriptors or the memory of the process, or that leave nothing for other listeners.
func TestConnections(t *testing.T) {
	for _, test := range []struct {
		memory, descriptors int64
		public, peers       int
	}{
		{184 * megabyte, 4100, 981, 487},
		{408 * megabyte, 4096, 1948, 487},
		{64 * megabyte, 300, 75, 18},
		{0, 4100, 1950, 487},
		{0, 0, 0, 0},
	} {
		b := New(test.memory, test.descriptors, clockwork.NewFakeClock(), logr.Discard())
		if public, peers := b.Connections(Public), b.Connections(Peers); public != test.public || peers != test.peers {
			t.Errorf("%d bytes and %d descriptors: got %d and %d connections, want %d and %d", test.memory, test.descriptors, public, peers,
				test.public, test.peers)
		}
	}
}

// TestCrowdIsLoggedTwice guards against a log line for each refused client.
func TestCrowdIsLoggedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := 0
		log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
		b := New(0, 0, clockwork.NewRealClock(), log)
		for crowd := range 2 {
			for range 100 {
				b.Refused(Public, "NoMemory")
				time.Sleep(quietTime / 2)
			}
			time.Sleep(2 * quietTime)
			synctest.Wait()
			if want := 2 * (crowd + 1); lines != want {
				t.Errorf("got %d lines after crowd %d, want %d", lines, crowd, want)
			}
		}
	})
}
