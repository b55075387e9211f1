// Package suspension notices that the host was suspended.
//
// The steady clock, by which leases are measured, doesn't count the time for which a host is suspended, so that a leader
// that wakes up would trust a lease that ran out long ago.
package suspension

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// tolerance is the difference between the clocks above which the host was suspended. Readings of two clocks one after the
// other differ by microseconds.
const tolerance = 20 * time.Millisecond

// Detector compares the steady clock with the one that counts suspensions. It is not safe for concurrent use.
type Detector struct {
	offset time.Duration
	read   func() (time.Duration, error) // by how much suspensions have set the clocks apart
}

// New returns a Detector of suspensions from now on.
func New() (*Detector, error) { return newDetector(readOffset) }

func newDetector(read func() (time.Duration, error)) (*Detector, error) {
	offset, err := read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Detector{offset: offset, read: read}, nil
}

// Suspended reports whether the host was suspended since the last call.
func (d *Detector) Suspended() (bool, error) {
	offset, err := d.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	suspended := offset-d.offset > tolerance
	d.offset = offset
	return suspended, nil
}

func readOffset() (time.Duration, error) {
	var steady, total unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, trace.Wrap(err, "reading the steady clock")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &total); err != nil {
		return 0, trace.Wrap(err, "reading the clock that counts suspensions")
	}
	return time.Duration(total.Nano() - steady.Nano()), nil
}
