package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Restarts under one ID must not lengthen the wait for a silent worker with each further leader, once a leader has read its clock.
func TestReusedIDAcrossLeaders(t *testing.T) {
	const tasks, changes = 16, 5
	sim := newSimulationWithWorkers(t, 1, 8)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.run(2 * time.Second)
	for _, w := range sim.workers {
		w.startIncarnation(w.incarnation)
	}
	sim.run(time.Minute)
	sim.submit("urgent", "a", serving(tasks, "image"))
	sim.run(time.Minute)
	sim.crashWorkers(4)
	sim.run(2100 * time.Millisecond)
	first := sim.now
	for range changes {
		sim.changeLeader()
		sim.run(1300 * time.Millisecond)
	}
	sim.awaitServingRuns("a", tasks)
	if waited, most := sim.now.Sub(first), changes*1300*time.Millisecond+unresponsiveAfter; waited > most {
		t.Errorf("the tasks run again %v after the first change of leader, expected at most %v", waited, most)
	}
}

// False announcements of a later incarnation must not cost a healthy worker its lease, however slow its answers and the commits are.
func TestFalseAnnouncementsKeepLease(t *testing.T) {
	for _, responseTime := range []time.Duration{150 * time.Millisecond, 300 * time.Millisecond} {
		for _, commitTime := range []time.Duration{200 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("response=%v/commit=%v", responseTime, commitTime), func(t *testing.T) {
				c := newCluster(t, 1, 2)
				c.submit("batch", "a", dedicated(4, time.Minute))
				c.run(3 * time.Second)
				c.deliver = func(*exchange, *strictWorker) delivery {
					return delivery{delay: responseTime / 2, responseDelay: responseTime / 2}
				}
				c.commitTime = func() time.Duration { return commitTime }
				c.announceFalsely(50 * time.Millisecond)
				c.run(15 * time.Second)
				for range 3 {
					c.changeLeader(0, time.Second)
					c.run(5 * time.Second)
				}
				c.expectFirstRuns(4)
			})
		}
	}
}
