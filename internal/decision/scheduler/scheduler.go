// Package scheduler proposes which tasks start where, which stop and which are throttled. It keeps its own incremental view of
// workers and tasks, performs no I/O and reads no clock: the same calls in the same order give the same proposals.
//
// Proposals are optimistic. The state machine checks every invariant again when it applies the command. Until the scheduler
// learns of the change (TaskChanged) or the rejection (ProposalRejected), it counts its proposals as if they had taken effect.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/backlog"
	"galenamoor/internal/decision/interference"
	"galenamoor/internal/decision/placement"
	"galenamoor/internal/decision/quota"
	"galenamoor/internal/decision/workerhealth"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/rules"
)

const (
	// PassInterval is the shortest time between two passes.
	PassInterval = 20 * time.Millisecond
	// MaxProposals is the largest number of commands that one pass proposes.
	MaxProposals = 64
	// idleInterval is the time between passes when nothing changed; such passes review throttles and quarantines.
	// It is also the shortest time between two calls of mitigateInterference.
	idleInterval = time.Second
)

// Options select how a Scheduler decides. The zero value is not useful; see Default.
type Options struct {
	Strategy placement.Strategy
	Learning bool   // learn interference, resource use and run times
	Seed     uint64 // for placement.RandomFit only
}

// Default returns the options for production use.
func Default() Options { return Options{Strategy: placement.BestFit, Learning: true} }

// Scheduler is the leader's view of workers and tasks. It is not safe for concurrent use.
type Scheduler struct {
	options   Options
	planner   *placement.Planner
	estimator *interference.Estimator
	times     *backlog.RunTimes
	services  *backlog.Queue // service jobs with waiting tasks
	batch     *backlog.Queue
	ledger    *quota.Ledger
	health    *workerhealth.Tracker
	sizes     *sizeEstimator
	workers   map[string]*worker
	byID      []*worker // by placement.ID
	jobs      map[string]*job
	tasks     map[string]*task
	rules     *rules.Rules
	zonesOut  map[string]bool
	refills   []*refill

	now             time.Time
	lastPass        time.Time
	lastReview      time.Time
	lastExemption   time.Time
	jobsSeen        int     // number of the last new job
	verdictsStale   bool    // workers or rules changed since the last updateVerdicts
	dirty           bool    // a task may have become able to start since the last pass
	scanCursor      int     // position in the backlog where the next scan window starts
	backingOff      []*task // waiting tasks in backoff
	claims          []*task // tasks with a claim, in the order of the claims
	serviceKinds    []int32
	serviceTasks    []*task // service tasks that are assigned to workers
	holds           int     // number of claims that are holds
	ranked          []*task // buffer of chooseExempt
	throttled       []*task
	underReview     []*worker            // workers in quarantine or on probation
	reclaimable     bool                 // some team borrows quota and no reclaim has failed in this pass
	preemptCursor   int                  // worker at which the next search for victims starts
	reviewCursor    int                  // service task that was reviewed last
	proposals       []*controlpb.Command // commands proposed in this pass
	scorer          interferenceScorer
	neighbourBuffer []interference.Neighbour
}

// New returns a scheduler without workers and tasks.
func New(o Options) *Scheduler {
	s := &Scheduler{
		options: o, estimator: interference.New(), times: backlog.NewRunTimes(o.Learning), ledger: quota.New(),
		health: workerhealth.New(), sizes: newSizeEstimator(o.Learning), workers: map[string]*worker{}, jobs: map[string]*job{},
		tasks: map[string]*task{}, rules: &rules.Rules{}, zonesOut: map[string]bool{},
	}
	s.services, s.batch = backlog.New(s.times), backlog.New(s.times)
	s.scorer.scheduler = s
	var estimator placement.InterferenceEstimator
	if o.Learning {
		estimator = &s.scorer
	}
	s.planner = placement.New(o.Strategy, o.Seed, estimator)
	return s
}

// Configure activates an inventory and rules. The zones in zonesOut are out of service. A zone that was out of service in the
// previous call and is not any more is refilled at a limited rate from the next Pass on.
func (s *Scheduler) Configure(inv *inventory.Inventory, r *rules.Rules, zonesOut []string) {
	s.rules = r
	s.ledger.Reset()
	for _, team := range r.Teams {
		s.ledger.SetQuota(team.Name, team.Quota, team.Borrow)
	}
	isOut := map[string]bool{}
	for _, zone := range zonesOut {
		isOut[zone] = true
	}
	for _, zone := range inv.Zones {
		s.planner.SetZoneOut(zone, isOut[zone])
		s.cancelRefill(zone, isOut[zone])
		if s.zonesOut[zone] && !isOut[zone] {
			s.refills = append(s.refills, &refill{zone: zone})
		}
	}
	s.zonesOut = isOut
	for _, name := range slices.Sorted(maps.Keys(s.jobs)) {
		s.applyRules(s.jobs[name])
	}
	s.verdictsStale = true
	s.dirty = true
}

// Pass proposes at most MaxProposals commands of the kinds StartTask, StopTask and ThrottleTask. It returns nothing if it is
// called less than PassInterval after the previous call.
func (s *Scheduler) Pass(now time.Time) []*controlpb.Command {
	if now.Sub(s.lastPass) < PassInterval {
		return nil
	}
	s.now, s.lastPass, s.proposals = now, now, nil
	s.updateVerdicts()
	s.refillZones()
	s.reviewWorkers()
	s.endBackoffs()
	s.drainZones()
	if s.dirty {
		s.dirty = false
		s.startClaimed()
		s.startServices()
		s.startBatch()
	}
	if s.options.Learning && now.Sub(s.lastReview) >= idleInterval {
		s.lastReview = now
		s.mitigateInterference()
		s.dirty = s.dirty || s.batch.Len() > 0 // a delay may have ended, see shouldDelay
	}
	if s.passFull() {
		s.dirty = true
	}
	return s.proposals
}

// NextDeadline returns when to call Pass again if nothing changes before, or the zero time if there is no need to.
func (s *Scheduler) NextDeadline() time.Time {
	if s.dirty {
		return s.lastPass.Add(PassInterval)
	}
	if len(s.tasks) == 0 && len(s.refills) == 0 {
		return time.Time{}
	}
	if len(s.claims) > 0 || len(s.backingOff) > 0 {
		return s.lastPass.Add(5 * PassInterval)
	}
	return s.lastPass.Add(idleInterval)
}

// passFull reports whether this pass has reached MaxProposals.
func (s *Scheduler) passFull() bool { return len(s.proposals) >= MaxProposals }

func (s *Scheduler) propose(c *controlpb.Command) {
	c.Time = s.now.UnixNano()
	s.proposals = append(s.proposals, c)
}

// ProposalRejected undoes a proposal that will never take effect, because the state machine rejected it or it was not
// committed. The task is tried again after a backoff that grows with each rejection, and avoids the same worker at the next
// start.
func (s *Scheduler) ProposalRejected(now time.Time, c *controlpb.Command) {
	s.advance(now)
	switch k := c.Kind.(type) {
	case *controlpb.Command_Batch:
		for _, part := range k.Batch.Commands {
			s.ProposalRejected(now, part)
		}
	case *controlpb.Command_StartTask:
		if t := s.tasks[k.StartTask.Task]; t != nil && t.pendingStart {
			s.startRejected(t)
		}
	case *controlpb.Command_StopTask:
		if t := s.tasks[k.StopTask.Task]; t != nil && t.fence == k.StopTask.Fence {
			s.setStopping(t, t.state == controlpb.TaskState_STOPPING)
			t.pendingStop = false
			t.retryStopAt = s.now.Add(initialBackoff)
		}
	case *controlpb.Command_ThrottleTask:
		if t := s.tasks[k.ThrottleTask.Task]; t != nil && t.fence == k.ThrottleTask.Fence {
			t.pendingThrottle = 0
		}
	}
}

// advance sets the time of the scheduler, which never goes back.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
}
