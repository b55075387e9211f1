package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/voters"
)

var diskLossSeeds = flag.Int("disk-loss-seeds", 30, "number of seeds per group in TestDisksLostWithPower")

const (
	// successorDelay is the time from the loss of a host for good to the start of its successor.
	successorDelay = time.Second
	// restartTime is the time within which killed processes are back.
	restartTime = time.Second
	// powerLoss is how long hosts are without power.
	powerLoss = 2 * time.Second
	// startSpread is the time within which hosts start when the power returns.
	startSpread = 300 * time.Millisecond
	// recoveryTime is the time after the return of all hosts within which the group has a leader.
	recoveryTime = 12 * time.Second

	// The intervals of the controller process.
	membershipCheckInterval = 200 * time.Millisecond
	membershipRecheckDelay  = 50 * time.Millisecond
)

// diskLossGroup is a group of controllers and the losses that it must survive.
type diskLossGroup struct {
	controllers int
	tolerated   int           // hosts that may be lost at the same time
	catchUp     time.Duration // time after the start of a lost host's successor from which the host doesn't count as lost
}

// simGroup is a simulated cluster in which each controller repairs the membership while it leads, and joins while it isn't a
// member, as the controller process does.
type simGroup struct {
	*simCluster
	tolerated int
}

func newSimGroup(seed uint64, group diskLossGroup) *simGroup {
	g := &simGroup{simCluster: newSimCluster(seed, 3, 0), tolerated: group.tolerated}
	for _, d := range g.sorted() {
		g.startGroupMember(d)
	}
	for range group.controllers - 3 {
		g.addController()
	}
	return g
}

// addController starts a host that has never run before.
func (g *simGroup) addController() {
	d := &simDaemon{}
	g.newIdentity(d)
	d.name = fmt.Sprintf("n%02d", d.id)
	g.daemons[d.name] = d
	g.start(d)
}

func (g *simGroup) start(d *simDaemon) {
	g.boot(d, nil)
	g.startGroupMember(d)
}

// startGroupMember starts the loops of a running controller. They end with its next crash.
func (g *simGroup) startGroupMember(d *simDaemon) {
	boots := d.boots
	running := func() bool { return d.core != nil && d.boots == boots }
	g.schedule(joinInterval, func() { g.joinLoop(d, running) })
	started := g.now
	g.schedule(membershipCheckInterval, func() { g.reconcileLoop(d, running, started, voters.New(g.tolerated, started)) })
}

func (g *simGroup) joinLoop(d *simDaemon, running func() bool) {
	if !running() {
		return
	}
	isMember := false
	for _, member := range d.core.Membership().GetMembers() {
		isMember = isMember || member.GetId() == d.id
	}
	if leader := g.leader(); leader != nil && !isMember {
		g.submitTo(leader, membership(controlpb.MembershipChange_ADD_LEARNER, d, d.id), func(*controlpb.Result, string) {}, false)
	}
	g.schedule(joinInterval, func() { g.joinLoop(d, running) })
}

func (g *simGroup) reconcileLoop(d *simDaemon, running func() bool, started time.Time, reconciler *voters.Reconciler) {
	if !running() {
		return
	}
	wait := membershipCheckInterval
	if status := d.core.Status(); status.Role != consensus.Leader {
		reconciler = voters.New(g.tolerated, started)
	} else {
		peers := map[uint64]voters.Peer{}
		for _, p := range status.Peers {
			peers[p.ID] = voters.Peer{Active: p.Active}
		}
		if change := reconciler.Next(g.now, d.id, d.core.Membership().GetMembers(), peers); change != nil {
			request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Membership{Membership: change}}
			g.submitTo(d, &operation{request: request}, func(*controlpb.Result, string) {}, false)
			wait = membershipRecheckDelay
		}
	}
	g.scheduleOn(d, wait, func() { g.reconcileLoop(d, running, started, reconciler) })
}

// voting returns the running voters, the leader first.
func (g *simGroup) voting() []*simDaemon {
	var list []*simDaemon
	leader := g.leader()
	if leader == nil {
		return nil
	}
	for _, d := range g.sorted() {
		if d.core != nil && d.core.Status().Voter && d != leader {
			list = append(list, d)
		}
	}
	g.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return append([]*simDaemon{leader}, list...)
}

// configureOnce submits a configuration and returns once it is accepted, or after a time limit.
func (g *simGroup) configureOnce(key string) (accepted bool) {
	leader := g.leader()
	if leader == nil {
		return false
	}
	o := configure(key, leader.name, g.oracle.newest())
	g.submit(o)
	for end := g.now.Add(time.Second); o.answer == nil && g.now.Before(end); {
		g.run(100 * time.Microsecond)
	}
	return o.answer.GetCode() == controlpb.ResultCode_RESULT_OK
}

// loseForGood stops hosts for good and starts their successors, at other addresses, successorDelay later.
func (g *simGroup) loseForGood(lost []*simDaemon) {
	for _, d := range lost {
		g.crash(d)
		delete(g.daemons, d.name)
		g.schedule(successorDelay, g.addController)
	}
}

// loseAllPower stops all hosts at the same moment; those in lost return with empty disks.
func (g *simGroup) loseAllPower(lost []*simDaemon) {
	for _, d := range g.sorted() {
		g.crash(d)
	}
	for _, d := range lost {
		g.wipeDisk(d)
	}
	g.run(powerLoss)
	for _, d := range g.sorted() {
		g.schedule(time.Duration(g.random.Int64N(int64(startSpread))), func() { g.start(d) })
	}
}

// restartAll kills all processes. They are back within a second.
func (g *simGroup) restartAll() {
	for _, d := range g.sorted() {
		g.crash(d)
		g.schedule(restartTime*time.Duration(300+g.random.IntN(700))/1000, func() { g.start(d) })
	}
}

// checkServes checks that a leader is elected in time and has the newest accepted configuration.
func (g *simGroup) checkServes(when string) {
	start, newest := g.now, g.oracle.newest()
	for g.leader() == nil || !g.leader().core.leading {
		if g.now.Sub(start) >= recoveryTime {
			g.oracle.violation("no leader %v after %s%s", recoveryTime, when, g.describe())
			return
		}
		g.run(10 * time.Millisecond)
	}
	if got := g.leader().core.View().Version; got < newest {
		g.oracle.violation("version %d after %s; %d was accepted", got, when, newest)
	}
}

func (g *simGroup) describe() (text string) {
	for _, d := range g.sorted() {
		if d.core != nil {
			text += fmt.Sprintf("\n%s: %+v %v", d.name, d.core.Status(), d.core.Membership())
		}
	}
	return text
}

// diskLossSession loses hosts for good and then, as soon as that no longer counts, the disks of others together with the
// power of all.
func diskLossSession(seed uint64, group diskLossGroup, disturb func(*simGroup)) *simGroup {
	g := newSimGroup(seed, group)
	if g.random.IntN(2) == 0 {
		g.extraSyncDelay = 30 * time.Millisecond
	}
	g.run(8 * time.Second)
	for round := range 3 {
		list := g.voting()
		if list == nil {
			g.oracle.violation("no leader before round %d%s", round, g.describe())
			return g
		}
		first := g.random.IntN(2) // whether the leader is spared
		g.loseForGood(list[first : first+1+g.random.IntN(group.tolerated)])
		g.run(successorDelay)
		disturb(g)
		g.run(group.catchUp)
		if list = g.voting(); list == nil {
			g.oracle.violation("no leader %v after the start of the successors in round %d%s", group.catchUp, round, g.describe())
			return g
		}
		if !g.configureOnce(fmt.Sprintf("k%d", round)) {
			g.oracle.violation("a configuration is not accepted in round %d%s", round, g.describe())
		}
		first = g.random.IntN(2)
		g.loseAllPower(list[first : first+group.tolerated])
		if g.random.IntN(2) == 0 { // power is lost again while the lost disks are replaced
			g.run(time.Duration(g.random.Int64N(int64(4 * time.Second))))
			g.loseAllPower(nil)
		}
		g.checkServes(fmt.Sprintf("round %d", round))
		g.run(group.catchUp + 2*time.Second)
	}
	return g
}

// TestDisksLostWithPower guards against accepted configurations that are lost, and against groups that never elect a leader
// again, when as many disks as tolerated are lost while all other hosts lose power.
func TestDisksLostWithPower(t *testing.T) {
	for _, group := range []diskLossGroup{
		{controllers: 3, tolerated: 1, catchUp: 4 * time.Second},
		{controllers: 4, tolerated: 1, catchUp: 4 * time.Second},
		{controllers: 5, tolerated: 1, catchUp: 4 * time.Second},
		{controllers: 5, tolerated: 2, catchUp: 6 * time.Second},
		{controllers: 6, tolerated: 2, catchUp: 6 * time.Second},
	} {
		for name, disturb := range map[string]func(*simGroup){
			"undisturbed": func(*simGroup) {},
			"all processes killed": func(g *simGroup) {
				g.run(500 * time.Millisecond)
				g.restartAll()
				g.run(restartTime)
			},
			"all hosts without power": func(g *simGroup) {
				g.run(500 * time.Millisecond)
				g.loseAllPower(nil)
				g.run(startSpread)
			},
		} {
			t.Run(fmt.Sprintf("%d controllers, %d tolerated, %s", group.controllers, group.tolerated, name), func(t *testing.T) {
				t.Parallel()
				failed := 0
				for seed := range uint64(*diskLossSeeds) {
					g := diskLossSession(seed, group, disturb)
					if len(g.oracle.violations) > 0 {
						if failed++; failed <= 2 {
							t.Errorf("seed %d: %s", seed, g.oracle.violations[0])
						}
					}
				}
				if failed > 0 {
					t.Errorf("%d of %d seeds failed", failed, *diskLossSeeds)
				}
			})
		}
	}
}

// TestDiskLostWhileVoterIsReplaced guards against a group that never elects a leader again, because a disk is lost between the
// two membership changes by which a learner takes the place of a voter that was only cut off.
func TestDiskLostWhileVoterIsReplaced(t *testing.T) {
	skipInShort(t)
	for name, lost := range map[string]int{"the leader's": 0, "a follower's": 2} {
		for changes := range 3 {
			t.Run(fmt.Sprintf("%s after %d changes", name, changes), func(t *testing.T) {
				const seeds = 5
				failed := 0
				for seed := range uint64(seeds) {
					g := newSimGroup(seed, diskLossGroup{controllers: 4, tolerated: 1})
					g.run(8 * time.Second)
					list := g.voting()
					g.isolate(list[1], true)
					g.configureOnce("k")
					g.runThroughChanges(list[0], changes)
					g.isolate(list[1], false)
					g.loseAllPower([]*simDaemon{list[lost]})
					g.run(startSpread)
					g.checkServes("the loss")
					if len(g.oracle.violations) > 0 {
						if failed++; failed == 1 {
							t.Errorf("seed %d: %s", seed, g.oracle.violations[0])
						}
					}
				}
				if failed > 0 {
					t.Errorf("%d of %d seeds failed", failed, seeds)
				}
			})
		}
	}
}

// runThroughChanges runs until a leader has committed so many membership changes, and nothing else is pending.
func (g *simGroup) runThroughChanges(leader *simDaemon, changes int) {
	last := leader.core.Membership()
	for end := g.now.Add(10 * time.Second); changes > 0 && g.now.Before(end); g.run(100 * time.Microsecond) {
		status := leader.core.Status()
		if membership := leader.core.Membership(); membership != last && status.Commit == status.LastIndex {
			last = membership
			changes--
		}
	}
}
