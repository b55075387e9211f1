package replica

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

var (
	workSeeds     = flag.Uint64("work-seeds", 8, "number of seeds of TestWorkSurvivesLostDisks")
	workFirstSeed = flag.Uint64("work-first-seed", 0, "first seed of TestWorkSurvivesLostDisks")
	workLog       = flag.Bool("work-log", false, "log the steps of failed sessions of TestWorkSurvivesLostDisks")
)

const (
	workRounds = 4
	// workCatchUp is the time without faults after which another disk may be lost.
	workCatchUp = 4 * time.Second
	// workFinishTime is the time after the end of the faults within which all jobs end.
	workFinishTime = 60 * time.Second
)

// workSession runs jobs on a system that loses power, disks and controllers, with one disk lost at a time.
func workSession(seed uint64, options ...func(*workSystem)) *workSystem {
	s := newWorkSystem(seed, 3+int(seed%3), options...)
	for range workRounds {
		s.round()
		if len(s.oracle.violations) > 0 {
			return s
		}
	}
	s.finish()
	return s
}

// round disturbs the system, carries out a strike at a random event, and ends all faults.
func (s *workSystem) round() {
	r := s.random
	s.refusalRate = []float64{0, 0.2, 0.5}[r.IntN(3)]
	s.lossRate = []float64{0, 0.05, 0.2, 0.4}[r.IntN(4)]
	s.lateRate = []float64{0, 0.5, 1}[r.IntN(3)]
	s.extraMessageDelay = time.Duration(r.IntN(3)) * 50 * time.Millisecond
	slow := []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond}[r.IntN(3)]
	for _, d := range s.sorted() {
		if r.IntN(3) > 0 {
			s.folderOf(d).slow = slow
		}
	}
	for range r.IntN(4) {
		s.disturb()
		s.run(time.Duration(r.Int64N(int64(time.Second))))
	}
	var behind *simDaemon
	if _, others := s.votersByRole(); len(others) > 0 && r.IntN(2) == 0 {
		behind = others[0]
		s.cut(behind, 10*time.Second)
		s.run(time.Duration(r.Int64N(int64(4 * time.Second)))) // at times, it is about to be replaced
	}
	events := []string{
		eventStartOrdered, eventRestartOrdered, eventStartRefused, eventEndAcknowledged, eventEndAcknowledged, eventJobAccepted, eventMembership,
	}
	s.strikeAt(events[r.IntN(len(events))], func() { s.carryOutStrike(behind) })
	switch r.IntN(4) {
	case 0:
		s.run(time.Duration(r.Int64N(int64(3 * time.Second))))
		s.logStep("all lose power again")
		s.loseAllPower()
	case 1:
		s.strikeAt(eventMembership, func() {
			s.logStep("all lose power after a membership change")
			s.loseAllPower()
		})
	default:
		s.run(time.Duration(r.Int64N(int64(3 * time.Second))))
	}
	if r.IntN(3) == 0 {
		s.disturb()
	}
	s.run(time.Duration(r.Int64N(int64(3 * time.Second))))
	s.settle()
}

// strikeAt carries out a strike shortly after the next event of a kind, or after 3 s without one.
func (s *workSystem) strikeAt(event string, strike func()) {
	struck := false
	s.strikeEvent = event
	s.strike = func() {
		if !struck {
			struck = true
			strike()
		}
	}
	once := s.strike
	for end := s.now.Add(3 * time.Second); !struck && s.now.Before(end); {
		s.run(20 * time.Millisecond)
	}
	if !struck {
		s.strike, s.strikeEvent = nil, "timeout"
		once()
	}
}

// disturb starts a fault that loses no disk.
func (s *workSystem) disturb() {
	r := s.random
	all := s.sorted()
	d := all[r.IntN(len(all))]
	host := s.hosts[r.IntN(len(s.hosts))]
	length := time.Duration(100+r.IntN(4000)) * time.Millisecond
	switch r.IntN(12) {
	case 0:
		s.logStep("%s is killed", d.name)
		s.crash(d)
	case 1:
		s.logStep("disk of %s hangs for %v", d.name, length)
		s.folderOf(d).stalledUntil = s.now.Add(length)
	case 2:
		s.logStep("disks are slow")
		for _, each := range all[:1+r.IntN(len(all))] {
			s.folderOf(each).slow = 200 * time.Millisecond
		}
	case 3:
		s.logStep("disk of %s is full for %v", d.name, length)
		folder := s.folderOf(d)
		folder.full = true
		s.schedule(length, func() { folder.full = false })
	case 4:
		s.logStep("leadership is transferred")
		if leader := s.leader(); leader != nil && !s.isFrozen(leader) && leader.core.TransferLeadership(s.now) {
			s.processOutputs(leader)
		}
	case 5:
		s.logStep("worker %s crashes", host.name)
		if host.up {
			host.crash()
			s.schedule(length, host.boot)
		}
	case 6:
		s.logStep("worker %s is cut off for %v", host.name, 2*length)
		s.cutLinks(host.name, 2*length, true)
	case 7:
		s.logStep("worker %s is cut off from %s for %v", host.name, d.name, length)
		s.cutLink(host.name, d.name, length)
		s.cutLink(d.name, host.name, length)
	case 8:
		s.logStep("%s hears nobody for %v", d.name, length)
		s.cutLinks(d.name, length, false)
	case 9, 10:
		s.cut(d, length)
	case 11:
		if leader := s.leader(); leader != nil {
			d = leader
		}
		s.logStep("%s is frozen for %v", d.name, length)
		s.frozenUntil[d.name] = s.now.Add(length)
	}
}

// cut partitions a controller from the others.
func (s *workSystem) cut(d *simDaemon, length time.Duration) {
	s.logStep("%s is cut off for %v", d.name, length)
	for _, other := range s.sorted() {
		if other != d {
			s.cutLink(d.name, other.name, length)
			s.cutLink(other.name, d.name, length)
		}
	}
}

// cutLinks cuts the links from all controllers to a host and, if both is set, those from the host too.
func (s *workSystem) cutLinks(name string, length time.Duration, both bool) {
	for _, d := range s.sorted() {
		s.cutLink(d.name, name, length)
		if both {
			s.cutLink(name, d.name, length)
		}
	}
}

func (s *workSystem) cutLink(from, to string, length time.Duration) {
	if from == to {
		return
	}
	link := [2]string{from, to}
	s.partitionedLinks[link] = true
	s.schedule(length, func() { delete(s.partitionedLinks, link) })
}

// strikeKind is what a strike takes.
type strikeKind int

const (
	diskAndAllPower  strikeKind = iota // a disk, and the power of all others
	diskAndSomePower                   // a disk, and the power of some others
	diskAmidBehind                     // a disk, and the power of all others but one that was cut off and is joined again
	diskAlone                          // a disk
	allPower                           // the power of all
	hostForGood                        // a host with its disk, which another one replaces
	hostAndAllPower                    // the same, and the power of all others
	allProcesses                       // the processes of all
)

// strikeKinds are drawn from at random.
var strikeKinds = []strikeKind{
	diskAndAllPower, diskAndAllPower, diskAndAllPower, diskAndSomePower, diskAmidBehind, diskAmidBehind, diskAmidBehind, diskAlone,
	allPower, hostForGood, hostAndAllPower, allProcesses,
}

// carryOutStrike takes power, and the disk of at most one controller. A voter may have missed the newest entries.
func (s *workSystem) carryOutStrike(behind *simDaemon) {
	kind := strikeKinds[s.random.IntN(len(strikeKinds))]
	victim := s.victim(behind)
	s.ledger.events["strike at "+s.strikeEvent]++
	s.logStep("strike %d at %s, victim %s %d", kind, s.strikeEvent, victim.name, victim.id)
	switch kind {
	case diskAndAllPower:
		s.loseAllPower()
		s.loseDiskOf(victim)
	case diskAndSomePower:
		for _, d := range s.sorted() {
			if s.random.IntN(2) == 0 {
				s.cutPower(d, s.powerLossLength())
			}
		}
		s.loseDiskOf(victim)
	case diskAmidBehind:
		for _, d := range s.sorted() {
			if d != behind {
				s.cutPower(d, time.Duration(2+s.random.IntN(4))*time.Second)
			}
		}
		s.loseDiskOf(victim)
		s.downUntil[victim.name] = s.now.Add(startSpread)
		clear(s.partitionedLinks)
	case diskAlone:
		s.loseDiskOf(victim)
	case allPower:
		s.loseAllPower()
	case hostForGood:
		s.replaceForGood(victim)
	case hostAndAllPower:
		s.loseAllPower()
		s.replaceForGood(victim)
	case allProcesses:
		for _, d := range s.sorted() {
			s.crash(d)
		}
	}
}

// victim returns a voter whose disk may be lost: the leader, or another one that isn't behind if there is any.
func (s *workSystem) victim(behind *simDaemon) *simDaemon {
	leader, others := s.votersByRole()
	if leader != nil && s.random.IntN(2) == 0 {
		return leader
	}
	for _, d := range others {
		if d != behind {
			return d
		}
	}
	return s.sorted()[0]
}

func (s *workSystem) powerLossLength() time.Duration {
	if s.random.IntN(4) == 0 {
		return time.Duration(2+s.random.IntN(4)) * time.Second
	}
	return time.Duration(300+s.random.IntN(1500)) * time.Millisecond
}

func (s *workSystem) loseAllPower() {
	for _, d := range s.sorted() {
		s.cutPower(d, s.powerLossLength())
	}
}

// loseDiskOf makes a controller return with an empty disk.
func (s *workSystem) loseDiskOf(d *simDaemon) {
	s.ledger.events["disks lost"]++
	s.cutPower(d, s.powerLossLength())
	s.wipeDisk(d)
}

// replaceForGood stops a controller for good. Its successor starts at another address.
func (s *workSystem) replaceForGood(d *simDaemon) {
	s.ledger.events["controllers replaced"]++
	s.cutPower(d, 0)
	delete(s.daemons, d.name)
	delete(s.downUntil, d.name)
	s.schedule(successorDelay, func() { s.addEmptyController() })
}

// settle ends the faults of controllers and waits until another disk may be lost.
func (s *workSystem) settle() {
	clear(s.partitionedLinks)
	clear(s.frozenUntil)
	s.extraMessageDelay = 0
	for _, d := range s.sorted() {
		if d.folder != nil {
			d.folder.slow, d.folder.stalledUntil, d.folder.full = 0, time.Time{}, false
		}
	}
	s.run(6 * time.Second) // until all are back
	for waited := time.Duration(0); !s.isServing(); waited += 100 * time.Millisecond {
		if waited > recoveryTime {
			s.oracle.violation("%s: no leader %v after the faults%s", s.elapsed(), recoveryTime, s.describe())
			return
		}
		s.run(100 * time.Millisecond)
	}
	s.run(workCatchUp)
	s.checkAgreement()
}

// checkAgreement checks that controllers that have applied the same entries have the same state.
func (s *workSystem) checkAgreement() {
	snapshots := map[uint64]*controlpb.WorkSnapshot{}
	for _, d := range s.sorted() {
		if d.core == nil {
			continue
		}
		snapshot := workloadOf(d).Snapshot()
		if other := snapshots[d.core.applied]; other != nil && !proto.Equal(snapshot, other) {
			s.oracle.violation("%s: the state of %s at %d differs from that of another controller", s.elapsed(), d.name, d.core.applied)
		}
		snapshots[d.core.applied] = snapshot
	}
	s.ledger.events["states compared"]++
}

func (s *workSystem) isServing() bool {
	leader := s.leader()
	return leader != nil && leader.core.leading
}

// finish ends all faults, and checks that all jobs end and that all voters hold what was acted upon.
func (s *workSystem) finish() {
	s.submitting = false
	s.refusalRate, s.lossRate, s.lateRate = 0, 0, 0
	s.settle()
	for end := s.now.Add(workFinishTime); len(s.unfinished()) > 0 && s.now.Before(end); {
		s.run(time.Second)
	}
	if unfinished := s.unfinished(); len(unfinished) > 0 {
		s.oracle.violation("%s: %d of %d jobs are unfinished %v after the faults: %v%s", s.elapsed(), len(unfinished), len(s.ledger.accepted),
			workFinishTime, unfinished, s.describe())
	}
	s.run(2 * time.Second)
	for _, d := range s.sorted() {
		if d.core != nil && d.core.Status().Voter {
			s.ledger.checkState(d.name, workloadOf(d))
		}
	}
}

// unfinished returns the accepted jobs that haven't ended in the leader's state.
func (s *workSystem) unfinished() []string {
	leader := s.leader()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.ledger.accepted)), func(id string) bool {
		return id == perpetualJob || leader != nil && isTerminal(workloadOf(leader), id)
	})
}

// summary returns the counts of all events.
func (s *workSystem) summary() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(s.ledger.events)) {
		words = append(words, fmt.Sprintf("%s: %d", name, s.ledger.events[name]))
	}
	return strings.Join(words, ", ")
}

// TestWorkSurvivesLostDisks guards against an assignment, a removal or an end of a run that was acted upon and is missing
// from the state after a disk is lost while others lose power: the task would run twice. Sessions in which runs are in doubt
// have late, lost and refused calls to workers. More sessions: -work-seeds N.
func TestWorkSurvivesLostDisks(t *testing.T) {
	skipInShort(t)
	total := map[string]int{}
	for seed := *workFirstSeed; seed < *workFirstSeed+*workSeeds; seed++ {
		s := workSession(seed)
		for name, count := range s.ledger.events {
			total[name] += count
		}
		total["snapshots taken"] += s.compactions
		total["snapshots received"] += s.installedSnapshots
		for _, violation := range s.oracle.violations[:min(3, len(s.oracle.violations))] {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if len(s.oracle.violations) > 0 && *workLog {
			t.Logf("seed %d:\n%s", seed, strings.Join(s.log, "\n"))
		}
	}
	t.Log((&workSystem{ledger: &workLedger{events: total}}).summary())
	seeds := int(*workSeeds)
	for name, least := range map[string]int{
		"disks lost": seeds, "ended " + controlpb.RunEnd_RUN_DONE.String(): 100 * seeds, eventRestartOrdered: 5 * seeds, "leaders": workRounds * seeds,
		"snapshots taken": 10 * seeds, "snapshots received": seeds / 2,
	} {
		if total[name] < least {
			t.Errorf("%s: %d in %d sessions, too few to show anything", name, total[name], seeds)
		}
	}
}

// TestWorkOracleDetectsInjectedFaults guards against an oracle that can't fail.
func TestWorkOracleDetectsInjectedFaults(t *testing.T) {
	skipInShort(t)
	const seeds = 100
	for name, c := range map[string]struct {
		inject func(*workSystem)
		first  uint64 // seed
	}{
		"messages are sent before the sync":       {func(s *workSystem) { s.acksEarly = true }, 24},
		"syncs have no effect":                    {func(s *workSystem) { s.ignoresSync = true }, 0},
		"an empty disk keeps its identity":        {func(s *workSystem) { s.sameIdentity = true }, 0},
		"ends are acknowledged before the commit": {func(s *workSystem) { s.endsEarly = true }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := c.first; seed < c.first+seeds; seed++ {
				if s := workSession(seed, c.inject); len(s.oracle.violations) > 0 {
					t.Logf("seed %d: %s", seed, s.oracle.violations[0])
					return
				}
			}
			t.Errorf("not found in %d seeds", seeds)
		})
	}
}

// TestWorkSessionIsReproducible guards against failures that can't be replayed with their seed.
func TestWorkSessionIsReproducible(t *testing.T) {
	skipInShort(t)
	for seed := range uint64(2) {
		a, b := workSession(seed), workSession(seed)
		if x, y := strings.Join(a.log, "\n")+a.summary(), strings.Join(b.log, "\n")+b.summary(); x != y {
			t.Errorf("seed %d differs:\n%s\n%s", seed, x, y)
		}
	}
}
