package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"galenamoor/internal/controlpb"
)

var (
	seedCount = flag.Int("seeds", 150, "number of fuzz seeds")
	firstSeed = flag.Int64("seed", 1, "first fuzz seed")
)

// step is a generated fuzz step. Its numbers are reduced modulo the number of choices.
type step struct {
	Kind    string
	A, B, N int
	Run     time.Duration // virtual time after the step
}

func (s step) String() string {
	return fmt.Sprintf("{%s %d %d %d run %v}", s.Kind, s.A, s.B, s.N, s.Run)
}

var stepKinds = []string{
	"propose", "propose", "propose", "propose", "run", "crash", "crash", "restart", "restart", "wipe", "cut", "one-way",
	"isolate", "isolate", "heal", "heal", "delay", "network-faults", "clear-network-faults",
	"slow-disk", "freeze", "freeze", "freeze-leader",
	"transfer", "transfer", "add", "add", "promote", "promote", "promote", "remove", "readmit", "compact", "crash-leader",
	"cut-to-leader", "partition", "partition", "load", "load", "crash-restart", "crash-restart", "slow-disk",
	"split-leader", "split-leader",
}

// genSteps generates lists of steps that shrink by removing steps. Half of the lists use a random half of the kinds,
// because faults that need several steps of one kind are rare in a uniform mix (Groce et al., "Swarm Testing", 2012).
func genSteps(count int) gopter.Gen {
	return func(p *gopter.GenParameters) *gopter.GenResult {
		list := make([]step, count)
		kinds, even := []string{}, p.Rng.Intn(2) == 0
		for _, kind := range stepKinds {
			if even || p.Rng.Intn(2) == 0 {
				kinds = append(kinds, kind)
			}
		}
		for i := range list {
			run := time.Duration(p.Rng.Int63n(int64(60 * time.Millisecond)))
			if p.Rng.Intn(3) == 0 {
				run = time.Duration(p.Rng.Int63n(int64(900 * time.Millisecond)))
			}
			kind := append(kinds, "load")[p.Rng.Intn(len(kinds)+1)]
			list[i] = step{Kind: kind, A: p.Rng.Intn(1000), B: p.Rng.Intn(1000), N: p.Rng.Intn(1000), Run: run}
		}
		return gopter.NewGenResult(list, gen.SliceShrinker(gopter.NoShrinker))
	}
}

// step executes one step. A step that would leave too few disks or voters for a quorum is skipped, because recovery is not
// guaranteed then.
func (s *sim) step(st step) {
	a, b := s.hosts[st.A%len(s.hosts)], s.hosts[st.B%len(s.hosts)]
	leader := s.leader()
	switch st.Kind {
	case "propose":
		for range 1 + st.N%20 {
			if leader != nil && leader.propose(st.B%200) && st.A%2 == 0 {
				leader.processOutputs()
			}
		}
	case "load":
		for i := range 1 + st.N%100 {
			s.after(time.Duration(1+st.A%20)*time.Duration(i)*time.Millisecond, func() {
				for _, h := range s.hosts { // clients may still send to a deposed leader
					if h.up() && s.now >= h.frozenUntil && h.propose(8) {
						h.processOutputs()
					}
				}
			})
		}
	case "split-leader":
		for ends, l := range s.links {
			inside := func(i int) bool { return s.hosts[i] == leader || s.hosts[i] == a }
			l.partitioned = inside(ends[0]) != inside(ends[1])
		}
		s.step(step{Kind: "load", A: 4, N: 99, Run: st.Run})
	case "partition":
		for ends, l := range s.links {
			l.partitioned = (st.N>>ends[0]^st.N>>ends[1])&1 == 1
		}
	case "crash":
		a.crash()
	case "crash-restart":
		a.crash()
		a.restart()
	case "restart":
		a.restart()
	case "crash-leader":
		if leader != nil {
			leader.crash()
		}
	case "wipe":
		if s.keepsQuorum(func(id uint64) bool { return id == a.id }) {
			a.wipe()
		}
	case "cut":
		s.setPartitioned(a, b, true)
		s.setPartitioned(b, a, true)
	case "one-way":
		s.setPartitioned(a, b, true)
	case "isolate":
		s.eachLink(a, func(l *link) { l.partitioned = true })
	case "cut-to-leader":
		for _, h := range s.hosts {
			if leader != nil && h != leader {
				s.setPartitioned(h, leader, true)
			}
		}
	case "heal":
		for _, l := range s.links {
			*l = link{}
		}
	case "delay":
		s.links[[2]int{a.number, b.number}].extraDelay = time.Duration(st.N) * time.Millisecond / 2
	case "network-faults":
		s.network.jitter = time.Duration(1+st.A%200) * time.Millisecond
		s.network.lossPct, s.network.duplicatePct = st.B%20, st.N%20
	case "clear-network-faults":
		s.network.jitter, s.network.lossPct, s.network.duplicatePct = 0, 0, 0
	case "slow-disk":
		a.syncDelay = time.Duration(1+st.N%400) * time.Millisecond
	case "freeze":
		a.frozenUntil = s.now + time.Duration(st.N*2)*time.Millisecond
	case "freeze-leader":
		if leader != nil {
			leader.frozenUntil = s.now + time.Duration(st.N*2)*time.Millisecond
		}
	case "compact":
		for _, h := range s.hosts {
			if h == a || st.B%3 == 0 {
				h.compact(uint64(st.N % 10))
			}
		}
	case "transfer":
		if leader != nil {
			_ = leader.node.TransferLeadership(leader.local(), a.id) // refused if a is not another voter
		}
	case "add":
		s.change(leader, controlpb.MembershipChange_ADD_LEARNER, a.id)
	case "promote":
		if !a.diskless {
			s.change(leader, controlpb.MembershipChange_PROMOTE, a.id)
		}
	case "remove":
		members := s.memberships[len(s.memberships)-1].Members
		s.change(leader, controlpb.MembershipChange_REMOVE, members[st.A%len(members)].Id)
	case "readmit":
		if len(s.removed) > 0 {
			s.change(leader, controlpb.MembershipChange_ADD_LEARNER, s.removed[st.A%len(s.removed)])
		}
	}
	if leader != nil && leader.up() && s.now >= leader.frozenUntil {
		leader.processOutputs()
	}
	s.run(st.Run)
}

func (s *sim) change(leader *host, kind controlpb.MembershipChange_Kind, id uint64) {
	if leader == nil {
		return
	}
	remove := kind == controlpb.MembershipChange_REMOVE
	if remove && !s.keepsQuorum(func(other uint64) bool { return other == id }) {
		return
	}
	_, _ = leader.node.ProposeMembership(leader.local(), &controlpb.MembershipChange{
		Kind: kind, Member: &controlpb.Member{Id: id},
	}) // refusals are expected
}

// keepsQuorum reports whether every membership that a host knows, committed or not, keeps a quorum of intact disks without
// the given identities.
func (s *sim) keepsQuorum(without func(id uint64) bool) bool {
	known := []*controlpb.Membership{s.memberships[len(s.memberships)-1]}
	for _, h := range s.hosts {
		known = append(known, h.members()...)
	}
	for _, m := range known {
		intact := 0
		for _, member := range m.Members {
			if member.Voter && s.hostByID[member.Id] != nil && !without(member.Id) {
				intact++
			}
		}
		if len(m.Members) > 0 && intact <= countVoters(m)/2 {
			return false
		}
	}
	return true
}

// members returns the memberships that a host has or may restore from its disk, starting with the last committed one.
func (h *host) members() (known []*controlpb.Membership) {
	if h.up() {
		h.knownMemberships = h.node.memberships
	}
	for _, m := range h.knownMemberships {
		if m.index >= h.sim.membershipIndex {
			known = append(known, m.membership)
		}
	}
	return known
}

func (s *sim) setPartitioned(from, to *host, partitioned bool) {
	s.links[[2]int{from.number, to.number}].partitioned = partitioned
}

func (s *sim) eachLink(h *host, f func(*link)) {
	for ends, l := range s.links {
		if ends[0] == h.number || ends[1] == h.number {
			f(l)
		}
	}
}

// losePower makes all hosts lose power at the same moment, shortly after a proposal. As many of them as a quorum can spare lose
// their disks.
func (s *sim) losePower() {
	if leader := s.leader(); leader != nil && leader.propose(8) {
		leader.processOutputs()
	}
	s.run(time.Duration(s.rng.Int64N(int64(10 * time.Millisecond))))
	for _, h := range s.hosts {
		h.crash()
	}
	for _, i := range s.rng.Perm(len(s.hosts)) {
		if h := s.hosts[i]; s.keepsQuorum(func(id uint64) bool { return id == h.id }) {
			h.wipe()
		}
	}
	s.run(time.Second)
}

// checkRecovery ends all faults and checks that a new entry commits and reaches every member.
func (s *sim) checkRecovery() {
	s.network.jitter, s.network.lossPct, s.network.duplicatePct = 0, 0, 0
	for _, l := range s.links {
		*l = link{}
	}
	for _, h := range s.hosts {
		h.syncDelay = time.Millisecond
		h.frozenUntil = min(h.frozenUntil, s.now)
		h.restart()
	}
	s.run(5 * time.Second)
	leader := s.leader()
	if s.failure == "" && (leader == nil || !leader.propose(8)) {
		s.fail("no leader 5 s after all faults ended%s", s.describe())
		return
	}
	if s.failure != "" {
		return
	}
	leader.processOutputs()
	s.run(2 * time.Second)
	for _, m := range s.memberships[len(s.memberships)-1].Members {
		h := s.hostByID[m.Id]
		if h != nil && h.applied != uint64(len(s.entries)) {
			s.fail("host %d is at index %d of %d after all faults ended", h.number, h.applied, len(s.entries))
		}
		if h != nil && s.now-h.global(h.node.FreshAt()) > 500*time.Millisecond {
			s.fail("host %d is not fresh after all faults ended", h.number)
		}
	}
	if leader.proposed[leader.applied] != leader.node.term {
		s.fail("the last entry did not commit after all faults ended")
	}
}

// describe returns the state of the hosts for a failure report.
func (s *sim) describe() string {
	text := fmt.Sprintf("\nmodel: %d entries, %v", len(s.entries), s.memberships[len(s.memberships)-1])
	for _, h := range s.hosts {
		if h.up() {
			text += fmt.Sprintf("\nhost %d: %+v, %v", h.number, h.node.Status(), h.node.Membership())
		}
	}
	return text
}

// smallLimits makes batches, full in-flight windows, snapshot retries and committed entries left for later outputs frequent.
var smallLimits = Config{
	MaxAppendBytes: 512, MaxInflightBytes: 2048, SnapshotTimeout: 300 * time.Millisecond, MaxPromoteLag: 8,
	MaxCommittedBytes: 256, MaxCommittedEntries: 3,
}

// fuzz runs one seed and returns the failure with its shrunk steps, or an empty string.
func fuzz(seed int64, steps int, faults injectedFaults) string {
	check := func(list []step) string {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		hosts := 3 + rng.IntN(5)
		voters := min(hosts, 3+2*rng.IntN(2))
		s := newSim(uint64(seed), hosts, voters, network{delay: time.Millisecond}, faults, smallLimits)
		for _, h := range s.hosts[voters:] {
			h.diskless = rng.IntN(2) == 0
		}
		s.run(time.Second)
		if rng.IntN(3) == 0 {
			for _, h := range s.hosts {
				h.syncDelay = time.Duration(1+rng.IntN(150)) * time.Millisecond
			}
		}
		for _, st := range list {
			if s.failure != "" {
				return s.failure
			}
			s.step(st)
		}
		if rng.IntN(2) == 0 {
			s.losePower()
		}
		s.checkRecovery()
		return s.failure
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 1
	parameters.MaxShrinkCount = 300
	result := prop.ForAll(check, genSteps(steps)).Check(parameters)
	if result.Passed() {
		return ""
	}
	return fmt.Sprintf("seed %d: %v %v\nshrunk steps: %v\n%s", seed, result.Labels, result.Error, result.Args, result.ErrorStack)
}

// TestOracleDetectsInjectedFaults checks that the oracle detects each injected fault within a bounded number of seeds.
func TestOracleDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []struct {
		name   string
		expect string // regular expression of the failure
		faults injectedFaults
	}{
		{"acknowledge before sync", "not durable on a quorum", injectedFaults{ackBeforeSync: true}},
		{"vote twice after a wipe", "has leaders|lacks entry|another entry|not durable", injectedFaults{keepIdentity: true}},
		{"vote in spite of a leader", "leases are valid", injectedFaults{tamper: func(n *Node) { n.refuseVotesUntil = time.Time{} }}},
		{"vote twice in a term", "has leaders", injectedFaults{tamper: func(n *Node) { n.vote = 0 }}},
		{"keep the lease on transfer", "leases are valid", injectedFaults{tamper: func(n *Node) { n.leaseReleased = false }}},
		{"echo a stamp too early", "claims to be fresh", injectedFaults{tamper: echoEarly}},
		{"apply entries not yet durable", "not durable on a quorum", injectedFaults{tamper: func(n *Node) { n.durable = n.log.last() }}},
		{"forget a removed identity", "admits removed identity", injectedFaults{tamper: forgetRemoved}},
		{"match entries of another term", "another entry", injectedFaults{tamper: func(n *Node) { n.verified = n.log.last() }}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			expected := regexp.MustCompile(fault.expect)
			for seed := int64(1); seed <= 2000; seed++ {
				if failure := fuzz(seed, 60, fault.faults); expected.MatchString(failure) {
					t.Log(failure)
					return
				}
			}
			t.Error("not detected in 2000 seeds")
		})
	}
}

func echoEarly(n *Node) {
	for _, p := range n.peers {
		p.oldestStamp.round, p.newestStamp.round = 0, 0
	}
}

func forgetRemoved(n *Node) {
	for _, m := range n.memberships {
		m.membership.Removed = nil
	}
}

// TestFuzz checks the safety properties of the log and its recovery under random mixes of the faults in stepKinds.
func TestFuzz(t *testing.T) {
	const workers = 4
	for worker := range int64(workers) {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for i := worker; i < int64(*seedCount); i += workers {
				if failure := fuzz(*firstSeed+i, 60, injectedFaults{}); failure != "" {
					t.Fatal(failure)
				}
			}
		})
	}
}
