package dispatch

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/order"
)

// timeouts is a mailbox that gets a failed call only once it has timed out, as if its worker were partitioned.
type timeouts struct{ *simulation }

func (m timeouts) TakeAnswers() []*order.Answer {
	var taken []*order.Answer
	for _, a := range m.simulation.TakeAnswers() {
		if a.Status == order.NoAnswer && m.now.Before(a.Call.Sent.Add(time.Second+a.Call.Wait)) {
			m.mailbox = append(m.mailbox, a)
		} else {
			taken = append(taken, a)
		}
	}
	return taken
}

// restartSilently ends the first workers for good. A later incarnation of each announces itself to the leader, and calls to it time out.
func (sim *simulation) restartSilently(count int) {
	sim.dispatcher.config.Mailbox = timeouts{sim}
	sim.crashWorkers(count)
	for _, worker := range sim.workers[:count] {
		life := proto.CloneOf(worker.incarnation)
		life.BornMs = sim.now.UnixMilli()
		sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: &controlpb.WorkRequest{
			Kind: &controlpb.WorkRequest_Announce{Announce: &controlpb.AnnounceLife{Life: life, Sequence: 1}},
		}}})
	}
}

// leaderChanges are the ways to change the leader of a simulation.
func leaderChanges(sim *simulation) map[string]func() {
	disk := newDisk(sim)
	return map[string]func(){
		"standby":  sim.changeLeader,
		"log":      func() { sim.restartControllers(disk, 0) },
		"snapshot": func() { disk.compact(); sim.restartControllers(disk, 0) },
	}
}

// newSettledSimulation returns a simulation in which a leader has led for a while, and all runs were assigned by it.
func newSettledSimulation(t *testing.T, tasks uint32) *simulation {
	t.Helper()
	sim := newSimulationWithWorkers(t, 1, 8)
	sim.dispatcher.config.Limits.MaxLease = 10 * time.Second
	sim.run(12 * time.Second)
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	sim.submit("urgent", "a", serving(tasks, "image"))
	sim.run(12 * time.Second)
	return sim
}

// The tasks of a worker that has announced a restart and is silent since must not wait for the longest lease because the leader changes.
func TestSilentRestartAcrossLeaders(t *testing.T) {
	const tasks, changeInterval, most = 16, 1300 * time.Millisecond, 9 * time.Second
	for _, way := range []string{"standby", "log", "snapshot"} {
		for _, age := range []time.Duration{1200 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			for changes := range 4 {
				t.Run(fmt.Sprintf("%s/age=%v/changes=%d", way, age, changes), func(t *testing.T) {
					sim := newSettledSimulation(t, tasks)
					change := leaderChanges(sim)[way]
					sim.restartSilently(4)
					restarted := sim.now
					if n := sim.servingRuns("a"); n == tasks {
						t.Fatal("no task is affected")
					}
					sim.run(age)
					for range changes {
						change()
						sim.run(changeInterval)
					}
					sim.awaitServingRuns("a", tasks)
					if waited := sim.now.Sub(restarted); waited > most {
						t.Errorf("the tasks run again %v after the restart, expected at most %v", waited, most)
					}
				})
			}
		}
	}
}

// If the leader falls just after the announcement, the longest lease must count from its fall, not from the start of each later leader.
func TestSilentRestartBeforeLeaderFalls(t *testing.T) {
	const tasks, changeInterval, margin = 16, 700 * time.Millisecond, 50 * time.Millisecond
	for _, way := range []string{"standby", "log", "snapshot"} {
		for changes := 1; changes < 8; changes += 2 {
			t.Run(fmt.Sprintf("%s/changes=%d", way, changes), func(t *testing.T) {
				sim := newSettledSimulation(t, tasks)
				change := leaderChanges(sim)[way]
				sim.restartSilently(4)
				sim.run(300 * time.Millisecond)
				fell := sim.now
				for range changes {
					change()
					sim.run(changeInterval)
				}
				sim.awaitServingRuns("a", tasks)
				untold := changeInterval - tellInterval + margin // by each leader
				if waited, most := sim.now.Sub(fell), sim.dispatcher.longestLease()+time.Duration(changes)*untold; waited > most {
					t.Errorf("the tasks run again %v after the fall of the first leader, expected at most %v", waited, most)
				}
			})
		}
	}
}

// silentRestartCase is a worker that restarts after starts were ordered from it and is partitioned then.
type silentRestartCase struct {
	answers        int             // calls that the later incarnation answers before it is partitioned
	delay          time.Duration   // of the starts
	grants         bool            // so is a later poll that extends the lease; otherwise no poll reaches the later incarnation
	changes        []time.Duration // times at which the leader changes, from the restart
	restarted      bool            // the next leader is a replica that has just read its state from a snapshot
	announcesAgain bool            // the later incarnation announces itself to each leader
}

func (o silentRestartCase) play(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.setMaxLease(10 * time.Second)
	c.run(12 * time.Second)
	c.submit("urgent", "old", dedicated(4, time.Minute))
	c.run(5 * time.Second)
	var w *strictWorker
	delaysGrant, isGranted := false, false
	c.deliver = func(e *exchange, to *strictWorker) delivery {
		switch {
		case to != w && e.call.Kind != order.Start || to != w && w != nil:
			return delivery{delay: time.Millisecond}
		case e.call.Kind == order.Start:
			return delivery{delay: o.delay, unanswered: true}
		case delaysGrant && e.call.LeaseExpiry > 0:
			delaysGrant, isGranted = false, true
			return delivery{delay: o.delay, unanswered: true}
		case w.isPartitioned():
			return delivery{lost: true, unanswered: true}
		}
		return delivery{delay: time.Millisecond}
	}
	c.submit("batch", "a", dedicated(4, 25*time.Second))
	w = c.assigned()
	c.run(50 * time.Millisecond)
	if o.grants {
		c.run(550 * time.Millisecond)
		delaysGrant = true
		c.runUntil(func() bool { return isGranted })
	}
	w.setClockRate(slowestClock)
	w.restart(0)
	w.announce(0)
	if o.answers > 0 {
		w.responsesLeft, w.partitionTime = o.answers, 45*time.Second
		c.run(protocolTick)
	} else {
		c.run(protocolTick)
		w.partition(45 * time.Second)
	}
	restarted := c.now
	for _, at := range o.changes {
		c.run(at - c.now.Sub(restarted))
		c.changeLeader(0, 0)
		if o.restarted {
			if err := c.state.Restore(c.state.Snapshot()); err != nil {
				t.Fatal(err)
			}
			c.restartReplica()
		}
		if o.announcesAgain {
			c.after(300*time.Millisecond, func() {
				until := w.partitionedUntil
				w.partitionedUntil = c.now
				w.announce(0)
				w.partitionedUntil = until
			})
		}
	}
	c.run(40 * time.Second)
	c.expectNoViolation()
}

// playWithChanges plays the case as a subtest, in which the leader changes so often at an interval.
func (o silentRestartCase) playWithChanges(t *testing.T, first time.Duration, changes int, interval time.Duration) {
	for i := range changes {
		o.changes = append(o.changes, first+time.Duration(i)*interval)
	}
	t.Run(fmt.Sprintf("%+v", o), func(t *testing.T) {
		t.Parallel()
		o.play(t)
	})
}

// A task must not start elsewhere while a later incarnation of its worker, which has announced itself or answered and is silent since,
// carries out a late start for it, whichever leaders come meanwhile.
func TestLateStartAfterSilentRestart(t *testing.T) {
	for answers := range 3 {
		for _, delay := range []time.Duration{2 * time.Second, 6 * time.Second, protocolMaxDelay - 100*time.Millisecond} {
			for first := 2 * time.Second; first <= 11*time.Second; first += 3 * time.Second {
				for _, changes := range []int{1, 3} {
					for _, all := range []bool{false, true} {
						o := silentRestartCase{answers: answers, delay: delay, grants: all, restarted: all, announcesAgain: all}
						o.playWithChanges(t, first, changes, 1300*time.Millisecond)
					}
				}
			}
		}
	}
}

// The same if the leader falls before it has recorded which starts are open: the later incarnation has carried them out by then.
func TestStartBeforeSilentRestartIsRecorded(t *testing.T) {
	for answers := range 2 {
		for first := 100 * time.Millisecond; first <= 2*time.Second; first += 300 * time.Millisecond {
			for _, changes := range []int{1, 5} {
				for _, restarted := range []bool{false, true} {
					o := silentRestartCase{answers: answers, delay: 70 * time.Millisecond, restarted: restarted}
					o.playWithChanges(t, first, changes, 600*time.Millisecond)
				}
			}
		}
	}
}

// False announcements of a later incarnation must not cost a healthy worker its tasks, although some polls get lost.
func TestFalseAnnouncementsAndLostPolls(t *testing.T) {
	for _, lost := range []int{1, 2} {
		for _, commitTime := range []time.Duration{15 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("lost=%d/commit=%v", lost, commitTime), func(t *testing.T) {
				c := newCluster(t, 1, 1)
				c.submit("batch", "a", dedicated(4, time.Minute))
				c.run(3 * time.Second)
				c.commitTime = func() time.Duration { return commitTime }
				polls := 0
				c.deliver = func(*exchange, *strictWorker) delivery {
					polls++
					isLost := polls%24 < lost
					return delivery{delay: 50 * time.Millisecond, responseDelay: 50 * time.Millisecond, lost: isLost, unanswered: isLost}
				}
				c.announceFalsely(400 * time.Millisecond)
				c.run(15 * time.Second)
				for range 3 {
					c.changeLeader(0, 500*time.Millisecond)
					c.run(5 * time.Second)
				}
				c.expectFirstRuns(4)
			})
		}
	}
}
