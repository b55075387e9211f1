package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Passes after each answer took most of the leader's processor time while many steps waited, so that calls to workers were late. With
// few such steps, a change must be acted upon at once.
func TestPassesAreSpacedWhileManyStepsWait(t *testing.T) {
	for steps, test := range map[int]struct{ fewest, most int }{
		5:   {95, 100},
		400: {16, 22},
		600: {16, 22},
	} {
		t.Run(fmt.Sprintf("%d steps", steps), func(t *testing.T) {
			sim := newLabelledFleet(t, 20, 20)
			sim.waitForRoom(steps)
			d, jobs, passes, delayed := sim.dispatcher, 0, 0, 0
			second := func() {
				passes, delayed = 0, 0
				for range 100 {
					sim.request(submission("urgent", fmt.Sprintf("finite-%d", jobs), dedicated(1, 300*time.Millisecond)))
					jobs++
					before := d.nextPass
					sim.run(10 * time.Millisecond)
					if d.nextPass != before {
						passes++
					}
					if !d.dirty || len(d.outbox) > 0 || !sim.Empty() {
						continue
					}
					delayed++
					if deadline := d.NextDeadline(); deadline.After(d.earliestPass) && deadline.After(sim.now) {
						t.Errorf("a pass is due in %v and Tick only in %v", d.earliestPass.Sub(sim.now), deadline.Sub(sim.now))
					}
				}
			}
			second()
			second()
			t.Logf("%d passes; changes await the next one after %d of 100 ticks", passes, delayed)
			if passes < test.fewest || passes > test.most {
				t.Errorf("%d passes in a second, expected %d to %d", passes, test.fewest, test.most)
			}
			if passes+delayed < 95 {
				t.Errorf("something changes in only %d of 100 ticks", passes+delayed)
			}
		})
	}
}
