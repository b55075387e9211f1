package suspension

import (
	"testing"
	"time"
)

// TestSuspended guards against missed suspensions, after which a leader would rely on an expired lease, and against false
// positives, which would make a leader step down needlessly.
func TestSuspended(t *testing.T) {
	offset := time.Hour
	d, err := newDetector(func() (time.Duration, error) { return offset, nil })
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		by   time.Duration
		want bool
	}{{0, false}, {50 * time.Microsecond, false}, {3 * time.Second, true}, {0, false}, {time.Millisecond, false}, {500 * time.Millisecond, true}} {
		offset += step.by
		if got, err := d.Suspended(); got != step.want || err != nil {
			t.Errorf("after %v: %v, %v; expected %v", step.by, got, err, step.want)
		}
	}
}

// TestReadOffset checks that the clocks of this host can be read.
func TestReadOffset(t *testing.T) {
	if _, err := New(); err != nil {
		t.Error(err)
	}
}
