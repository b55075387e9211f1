// Package suspension detects that the host was suspended.
//
// Leases are measured by the monotonic clock, which does not advance while the host is suspended. Without detection, a
// leader that resumes would rely on a lease that expired long ago.
package suspension

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// tolerance is the change of the offset between the clocks above which the host is taken to have been suspended. Reading
// the two clocks one after the other causes differences of microseconds, or more if the thread is preempted in between.
const tolerance = 20 * time.Millisecond

// Detector compares CLOCK_MONOTONIC with CLOCK_BOOTTIME, which also advances during suspension. It is not safe for
// concurrent use.
type Detector struct {
	offset time.Duration
	read   func() (time.Duration, error) // returns CLOCK_BOOTTIME minus CLOCK_MONOTONIC
}

// New returns a Detector of suspensions after this call.
func New() (*Detector, error) { return newDetector(readOffset) }

func newDetector(read func() (time.Duration, error)) (*Detector, error) {
	offset, err := read()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Detector{offset: offset, read: read}, nil
}

// Suspended reports whether the host was suspended since the previous call of Suspended or New.
func (d *Detector) Suspended() (bool, error) {
	offset, err := d.read()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if offset-d.offset > tolerance {
		// Preemption between the two clocks makes one reading too high, while a suspension changes all later ones.
		repeated, err := d.read()
		if err != nil {
			return false, trace.Wrap(err)
		}
		offset = min(offset, repeated)
	}
	suspended := offset-d.offset > tolerance
	d.offset = offset
	return suspended, nil
}

func readOffset() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, trace.Wrap(err, "read CLOCK_MONOTONIC")
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, trace.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
