package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/decision/workload"
)

// awaitEpoch runs the simulation until its leader's epoch is committed.
func (sim *simulation) awaitEpoch() {
	for sim.dispatcher.epoch == 0 {
		sim.run(time.Millisecond)
	}
}

// A moved task whose end the fallen leader has recorded must find its room again while the other one is still being stopped, whether the
// next leader has applied the log or a snapshot. Finite tasks would take the room for 8 s.
func TestRecordedStopIsInherited(t *testing.T) {
	for name, change := range map[string]func(sim *simulation, d *disk){
		"standby":  func(sim *simulation, _ *disk) { sim.changeLeader() },
		"restored": func(sim *simulation, d *disk) { d.compact(); sim.restartControllers(d, 0) },
	} {
		for slow := 1; slow <= 2; slow++ {
			t.Run(fmt.Sprintf("%s/slow=%d", name, slow), func(t *testing.T) {
				sim := newFullHosts(t, 1, 0)
				disk := newDisk(sim)
				sim.workers[1].stopTime, sim.workers[2].stopTime = 50*time.Millisecond, 50*time.Millisecond
				sim.workers[slow].stopTime = 450 * time.Millisecond
				sim.interrupt()
				sim.runUntilRelocation()
				sim.run(250 * time.Millisecond)
				change(sim, disk)
				sim.awaitEpoch()
				for i := range 6 {
					sim.request(submission("urgent", fmt.Sprintf("finite-%d", i), dedicated(1, 8*time.Second)))
				}
				if outage := sim.longestOutage("waiting", 4*time.Second); outage > time.Second {
					t.Errorf("a moved task had no run for %v", outage)
				}
				if n := len(sim.dispatcher.relocations.active) + len(sim.dispatcher.relocations.reserved); n > 0 {
					t.Errorf("%d relocations and reservations are left", n)
				}
			})
		}
	}
}

// A task that was stopped because its host is being drained must not return there: the next leader would stop it again.
func TestDrainedTaskDoesNotReturn(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 3)
	newHostService(sim, 1)
	sim.submit("urgent", "a", serving(1, "image"))
	sim.run(3 * time.Second)
	task := sim.state.Job("a").Steps(0)[0].Tasks[0]
	w := sim.dispatcher.workers[task.Runs[0].Worker]
	for _, worker := range sim.workers {
		worker.stopTime = 400 * time.Millisecond
	}
	sim.beginWave(1, 1, w.incarnation.GetHost())
	for r := sim.dispatcher.runs[workload.RunKey{Task: task.Key(), Run: 1}]; !r.stopRequested; {
		sim.run(10 * time.Millisecond)
	}
	sim.run(50 * time.Millisecond)
	returned := 0
	sim.standby.config.Count = func(name string) {
		if name == "StopsInherited" {
			returned++
		}
	}
	sim.dispatcher.config.Count = sim.standby.config.Count
	sim.changeLeader()
	for task.LastRun == 1 {
		sim.run(10 * time.Millisecond)
	}
	if returned > 0 {
		t.Error("room is reserved on a host that is being drained")
	}
}
