package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// loseAnswers sets whether the answers of all workers are lost.
func (sim *simulation) loseAnswers(lost bool) {
	for _, worker := range sim.workers {
		worker.answersLost = lost
	}
}

// submitUnanswered submits a job. From its first assignment on, the answers of all workers are lost.
func (sim *simulation) submitUnanswered(queue, id string, step *controlpb.WorkStep) {
	sim.t.Helper()
	sim.submit(queue, id, step)
	for range 100 {
		if len(sim.dispatcher.assigning) > 0 {
			sim.loseAnswers(true)
			return
		}
		sim.run(10 * time.Millisecond)
	}
	sim.t.Fatalf("no task of %s is assigned", id)
}

// Lasting tasks whose starts were answered shortly before the leader fell, and whose workers are lost with it, must not wait for the
// longest lease: all runs assigned in the last 1.8 s did.
func TestAnsweredStartsShortlyBeforeLeaderChange(t *testing.T) {
	const tasks, margin = 16, 300 * time.Millisecond
	changes := map[string]func(*simulation, *disk){
		"standby":           func(sim *simulation, _ *disk) { sim.changeLeader() },
		"restarted":         func(sim *simulation, d *disk) { sim.restartControllers(d, 0) },
		"restored":          func(sim *simulation, d *disk) { d.compact(); sim.restartControllers(d, 0) },
		"standby, standby":  func(sim *simulation, _ *disk) { sim.changeLeader(); sim.run(time.Second); sim.changeLeader() },
		"restored, standby": func(sim *simulation, d *disk) { d.compact(); sim.restartControllers(d, 0); sim.changeLeader() },
	}
	for name, change := range changes {
		for _, age := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/age=%v", name, age), func(t *testing.T) {
				sim := newSimulationWithWorkers(t, 1, 8)
				sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
				disk := newDisk(sim)
				sim.run(12 * time.Second)
				sim.changeLeader() // the leases of unknown duration before the first leader have expired
				sim.run(3 * time.Second)
				sim.submit("urgent", "a", serving(tasks, "image"))
				sim.awaitServingRuns("a", tasks)
				sim.run(10*time.Millisecond + age)
				sim.crashWorkers(4)
				if n := sim.servingRuns("a"); n == tasks {
					t.Fatal("no task is affected")
				}
				change(sim, disk)
				due := sim.now.Add(leaseBound + margin)
				sim.awaitServingRuns("a", tasks)
				if sim.now.After(due) {
					t.Errorf("the tasks run again %v after the first leader, expected at most %v", sim.now.Sub(due.Add(-leaseBound-margin)), leaseBound+margin)
				}
			})
		}
	}
}

// Runs whose starts got no answer must count as recent under the next leader, and must not make those that were assigned beside and
// after them recent.
func TestUnansweredStartsAreRecent(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.run(10 * time.Second)
	sim.submit("urgent", "a", serving(8, "image"))
	for len(sim.dispatcher.assigning) == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.workers[0].answersLost = true
	sim.run(200 * time.Millisecond)
	sim.submit("urgent", "b", serving(4, "image"))
	sim.run(500 * time.Millisecond)
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	silent, answered := 0, 0
	for key, r := range sim.dispatcher.runs {
		isSilent := r.worker.incarnation.GetId() == sim.workers[0].incarnation.GetId()
		if isSilent {
			silent++
		} else {
			answered++
		}
		if isRecent := !r.recentUntil.IsZero(); isRecent != isSilent {
			t.Errorf("%v on %s counts as recent: %v", key.Task, r.worker.incarnation.GetId(), isRecent)
		}
	}
	if silent == 0 || answered == 0 {
		t.Errorf("%d runs on the silent worker and %d on the others, expected both", silent, answered)
	}
}

// A task must not run twice because the second copy of its start was answered: the first copy, which got no answer, may be carried out
// late by a later incarnation, about when the leader falls.
func TestUnansweredCopyOfAnsweredStart(t *testing.T) {
	for age := 20 * time.Millisecond; age < 400*time.Millisecond; age += 60 * time.Millisecond {
		for _, led := range []time.Duration{-150 * time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond, 90 * time.Millisecond} {
			for _, gap := range []time.Duration{0, 500 * time.Millisecond} {
				for _, restarted := range []bool{false, true} {
					t.Run(fmt.Sprintf("age=%v/led=%v/gap=%v/restarted=%v", age, led, gap, restarted), func(t *testing.T) {
						c, w, first := answeredAtSecondCopy(t)
						c.run(age)
						w.restart(0)
						w.partition(18 * time.Second)
						first.delivery = delivery{unanswered: true}
						c.after(max(0, -led), func() { w.receive(first) })
						c.run(max(0, led))
						if restarted {
							c.restartReplica()
						}
						c.changeLeader(0, gap)
						c.run(20 * time.Second)
						c.expectNoViolation()
					})
				}
			}
		}
	}
}

// answeredAtSecondCopy returns a cluster with a worker of the slowest clock that has just carried out the second copy of a start, and the
// first one, which it hasn't got.
func answeredAtSecondCopy(t *testing.T) (c *cluster, w *strictWorker, first *exchange) {
	t.Helper()
	c = newCluster(t, 1, 2)
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		if to == w && e.call.Kind == order.Start && first == nil {
			first = e
			return delivery{lost: true, unanswered: true}
		}
		return delivery{delay: time.Millisecond, lost: to.isPartitioned()}
	}
	c.submit("batch", "a", dedicated(4, 20*time.Second))
	w = c.assigned()
	w.setClockRate(slowestClock)
	c.runUntil(func() bool { return first != nil && w.incarnation.runs[first.call.Run] != nil })
	return c, w, first
}

// Answers to starts must be told again if the batch that tells them isn't committed, but not with each batch until then: slow disks
// would have more to write.
func TestAnswersAreToldAgain(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.run(10 * time.Second)
	sim.submit("urgent", "a", serving(8, "image"))
	sim.awaitServingRuns("a", 8)
	told := 0
	sim.onCommand = func(command *controlpb.Command) {
		if command.GetWork().GetAnsweredAssignments() != nil {
			told++
		}
	}
	sim.commitTime = time.Hour
	sim.run(time.Second)
	if told < 1 || told > 3 {
		t.Errorf("told %d times within a second, expected once per %v", told, tellInterval)
	}
	sim.events = dropCommits(sim.events)
	sim.commitTime, sim.lastCommit = defaultCommitTime, sim.now
	sim.run(tellInterval + 100*time.Millisecond)
	if answered := sim.state.AnsweredAssignments(); answered.GetThrough() != sim.state.Assignments() || len(answered.GetOpen()) > 0 {
		t.Errorf("answered up to %d except %d, expected all up to %d", answered.GetThrough(), len(answered.GetOpen()), sim.state.Assignments())
	}
}

// Unanswered starts must count as recent under the next leader even if there are more than a leader tells.
func TestManyUnansweredStartsAreRecent(t *testing.T) {
	const tasks = 4 * maxToldOpen
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.run(10 * time.Second)
	small := dedicated(tasks, time.Minute)
	small.Processors, small.Memory = 100, 100
	sim.submit("urgent", "small", small)
	for len(sim.dispatcher.assigning) == 0 {
		sim.run(10 * time.Millisecond)
	}
	sim.workers[0].answersLost, sim.workers[1].answersLost = true, true
	sim.run(500 * time.Millisecond)
	if told := sim.state.AnsweredAssignments(); told.GetThrough() == 0 || len(told.GetOpen()) > maxToldOpen {
		t.Errorf("answered up to %d, with %d open", told.GetThrough(), len(told.GetOpen()))
	}
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	silent := 0
	for key, r := range sim.dispatcher.runs {
		if id := r.worker.incarnation.GetId(); id == sim.workers[0].incarnation.GetId() || id == sim.workers[1].incarnation.GetId() {
			silent++
			if r.recentUntil.IsZero() {
				t.Errorf("%v on %s doesn't count as recent", key.Task, id)
			}
		}
	}
	if silent <= maxToldOpen {
		t.Errorf("%d starts got no answer, expected more than %d", silent, maxToldOpen)
	}
}

// An answer that a later incarnation may have given must not settle a run: that one may hold the longest lease.
func TestAnswersOfLaterIncarnationSettleNothing(t *testing.T) {
	listed := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		clock            time.Duration
		mayHaveRestarted bool
		expected         bool
	}{
		"old clock":          {10 * time.Minute, false, true},
		"young clock":        {800 * time.Millisecond, false, false},
		"no clock":           {0, false, false},
		"sign of a restart":  {10 * time.Minute, true, false},
		"clock within drift": {time.Second + 10*time.Millisecond, false, false},
	} {
		w := &worker{listedAt: listed, mayHaveRestarted: test.mayHaveRestarted}
		if got := w.isFromKnownIncarnation(&order.Answer{Clock: test.clock, Received: listed.Add(time.Second)}); got != test.expected {
			t.Errorf("%s: from the known incarnation: %v, expected %v", name, got, test.expected)
		}
	}
	if (&worker{}).isFromKnownIncarnation(&order.Answer{Clock: time.Hour, Received: listed}) {
		t.Error("an answer settles a run of a worker that has listed none yet")
	}
}
