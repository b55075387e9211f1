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

// TestPreemptedReading guards against a leader that resigns because its thread was preempted between the readings of the two
// clocks, and against a suspension that is missed beside such a reading.
func TestPreemptedReading(t *testing.T) {
	const suspended, preempted = 3 * time.Second, 30 * time.Millisecond
	offset := time.Hour
	var delays []time.Duration // by which the next readings are too high
	d, err := newDetector(func() (time.Duration, error) {
		if len(delays) == 0 {
			return offset, nil
		}
		delay := delays[0]
		delays = delays[1:]
		return offset + delay, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		by     time.Duration
		delays []time.Duration
		want   bool
	}{
		{0, []time.Duration{preempted}, false},
		{0, nil, false},
		{suspended, []time.Duration{preempted, 0}, true},
		{suspended, []time.Duration{0, preempted}, true},
		{25 * time.Millisecond, nil, true},
	} {
		offset, delays = offset+step.by, step.delays
		if got, err := d.Suspended(); got != step.want || err != nil {
			t.Errorf("after %v, with readings delayed by %v: %v, %v; expected %v", step.by, step.delays, got, err, step.want)
		}
	}
}
