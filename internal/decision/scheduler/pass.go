package scheduler

import (
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/backlog"
	"galenamoor/internal/decision/placement"
	"galenamoor/internal/decision/quota"
	"galenamoor/pkg/resource"
)

const (
	// Each pass tries the first scanHead jobs of the backlog and, of the others, a window of scanWindow jobs that moves on
	// with each pass. This bounds the length of a pass and still tries every job, so that no job blocks those behind it.
	scanHead   = 256
	scanWindow = 256
	// maxFailedRequests is the number of requests without a fitting worker that a pass remembers.
	maxFailedRequests = 32
	// reserveSlack is the slack below which a batch task may use the workers reserved for urgent work.
	reserveSlack = time.Minute
	// A hold is made for a task whose slack is at most holdSlack and that is late by at most holdDuration. It lasts
	// holdDuration. There is at most one hold per workersPerHold workers.
	holdSlack      = 90 * time.Second
	holdDuration   = 30 * time.Second
	workersPerHold = 12
	// claimTimeout is how long a task waits for the stop of the tasks preempted for it before its claim is released.
	claimTimeout = 5 * time.Second
)

// failedRequest is a request for which no worker was found in this pass. Requests that are at least as large are skipped.
type failedRequest struct {
	size    resource.Vector
	zones   placement.ZoneSet
	avoid   placement.Avoid
	reserve bool
}

// startServices starts waiting service tasks and preempts batch tasks where there is no room.
func (s *Scheduler) startServices() {
	var failed []failedRequest
	for _, j := range s.scan(s.services, len(s.jobs)) {
		for i := len(j.waiting) - 1; i >= 0 && !s.passFull(); i-- {
			t := j.waiting[i]
			if t.claim != nil || s.start(t, "services come first", &failed) {
				continue
			}
			if !s.preempt(t, controlpb.StopReason_EVICT_PREEMPTED, isBatch) {
				break
			}
		}
	}
}

// startBatch starts batch tasks: first urgent ones and those covered by the quota of their team, then those that borrow.
func (s *Scheduler) startBatch() {
	var failed []failedRequest
	var borrowing []*job
	s.reclaimable = s.ledger.AnyBorrows()
	limit := scanHead + scanWindow
	for _, j := range s.scan(s.batch, limit) {
		if s.passFull() {
			return
		}
		if s.startJob(j, &failed, quota.Owned) {
			borrowing = append(borrowing, j)
		}
	}
	for _, j := range borrowing {
		if s.passFull() {
			return
		}
		s.startJob(j, &failed, quota.Borrowed)
	}
}

// startJob starts as many tasks of a job as fit and have at least the wanted admission; for urgent tasks any admission except
// quota.Refused is enough. It reports whether the remaining tasks could start with borrowed quota.
func (s *Scheduler) startJob(j *job, failed *[]failedRequest, wanted quota.Admission) (borrows bool) {
	for i := len(j.waiting) - 1; i >= 0 && !s.passFull(); i-- {
		t := j.waiting[i]
		if t.claim != nil {
			continue
		}
		charge := s.sizes.charge(j)
		admission := s.ledger.Admit(j.team, charge)
		if admission == quota.Refused {
			return false
		}
		if admission < wanted && !j.urgent {
			return true
		}
		why := "least slack"
		if j.urgent {
			why = "urgent"
		} else if admission == quota.Borrowed {
			why = "borrows idle share"
		}
		if s.start(t, why, failed) {
			continue
		}
		switch {
		case j.urgent:
			if !s.preempt(t, controlpb.StopReason_EVICT_PREEMPTED, isNonUrgentBatch) {
				return false
			}
		case admission == quota.Owned && s.reclaimable:
			if !s.reclaim(t) {
				return false
			}
		default:
			s.hold(t)
			return false
		}
	}
	return false
}

// hold claims resources on the worker with the most room for a task whose slack is running out, and waits until enough of
// them are free. Otherwise smaller tasks behind it in the queue would take all room that becomes free, and a large task would
// never start.
func (s *Scheduler) hold(t *task) {
	slack, ok := s.slack(t)
	if !s.options.Learning || !ok || slack > holdSlack || slack < -holdDuration || s.holds*workersPerHold >= len(s.byID) {
		return
	}
	r := placement.Request{
		Size: s.sizes.planned(t.job, s.sizes.charge(t.job)), Zones: t.job.zones, Avoid: t.avoid, Reserve: s.mayUseReserve(t),
	}
	s.scorer.setKind(t.job.kind)
	if id := s.planner.MostFree(&r); id != placement.None && !s.scorer.wouldInterfere(id) {
		s.claimOn(t, s.byID[id], r.Size)
		t.claimUntil, t.holding = s.now.Add(holdDuration), true
		s.holds++
	}
}

// scan returns the jobs to try in this pass, in queue order: the head of the queue and a window that moves with each pass.
func (s *Scheduler) scan(q *backlog.Queue, limit int) []*job {
	found := make([]*job, 0, min(q.Len(), limit))
	if s.scanCursor >= q.Len() {
		s.scanCursor = scanHead
	}
	i := 0
	q.Scan(s.now, func(e *backlog.Entry) bool {
		if q == s.services || i < scanHead || i >= s.scanCursor && i < s.scanCursor+scanWindow {
			found = append(found, s.jobs[e.Name])
		}
		i++
		return len(found) < limit
	})
	if q == s.batch && q.Len() > scanHead {
		s.scanCursor += scanWindow
		s.dirty = s.dirty || s.scanCursor < q.Len()
	}
	return found
}

// mayUseReserve reports whether a task may start on the workers reserved for urgent work.
func (s *Scheduler) mayUseReserve(t *task) bool {
	if t.job.service || t.job.urgent || !s.options.Learning {
		return true
	}
	if s.maxEffectOf(t.job.kind) >= interferingEffect {
		return false // it would slow down the services there, which have no interfering neighbours otherwise
	}
	slack, ok := s.slack(t)
	return ok && slack < reserveSlack
}

// start looks for a worker for a task and proposes the start there. It reports whether it found one.
func (s *Scheduler) start(t *task, why string, failed *[]failedRequest) bool {
	charge := s.sizes.charge(t.job)
	r := placement.Request{
		Size: s.sizes.planned(t.job, charge), Zones: t.job.zones, Kind: t.job.kind, Service: t.job.service,
		Group: t.job.group, Avoid: t.avoid, Reserve: s.mayUseReserve(t),
	}
	for i := range *failed {
		f := &(*failed)[i]
		if f.size.Fits(r.Size) && f.zones == r.Zones && f.avoid == r.Avoid && (f.reserve || !r.Reserve) {
			return false
		}
	}
	s.scorer.setKind(t.job.kind)
	id := s.planner.Place(&r)
	if id == placement.None {
		if len(*failed) < maxFailedRequests {
			*failed = append(*failed, failedRequest{r.Size, r.Zones, r.Avoid, r.Reserve})
		}
		return false
	}
	if s.shouldDelay(t, id) {
		return false
	}
	s.startOn(t, s.byID[id], charge, why)
	return true
}

// startOn proposes to start a task on a worker.
func (s *Scheduler) startOn(t *task, w *worker, charge resource.Vector, why string) {
	s.dequeue(t)
	s.assign(t, w, charge)
	t.pendingStart, t.why = true, why
	if s.health.OnProbation(w.name) {
		s.updateBlocked(w)
	}
	c := &controlpb.StartTask{Task: t.name, Worker: w.name, Incarnation: w.incarnation, Why: why}
	if charge != t.job.request {
		c.Charge = controlpb.NewResources(charge)
	}
	s.propose(&controlpb.Command{Kind: &controlpb.Command_StartTask{StartTask: c}})
}

// startClaimed starts tasks whose claimed resources are free, and releases claims that timed out or cannot be met.
func (s *Scheduler) startClaimed() {
	for _, t := range slices.Clone(s.claims) {
		if s.passFull() {
			return
		}
		w := t.claim
		charge := s.sizes.charge(t.job)
		switch {
		case w.blocked || s.zonesOut[w.zone] || !s.now.Before(t.claimUntil):
			s.releaseClaim(t)
		case charge.Fits(s.planner.Capacity(w.id).Sub(w.charged)):
			// Measured use above the declared sizes counts only for planning; a task whose charge fits must not wait for it.
			s.planner.Unclaim(w.id, t.claimSize)
			s.releaseClaim(t)
			s.startOn(t, w, charge, "others were stopped for it")
		case w.stopping.IsZero() && !t.holding:
			s.releaseClaim(t) // the stopped tasks did not free enough
		}
	}
}

// claimOn claims resources of a worker that will become free soon for a task. The planner counts them as used meanwhile.
func (s *Scheduler) claimOn(t *task, w *worker, size resource.Vector) {
	t.claim, t.claimSize, t.claimUntil = w, size, s.now.Add(claimTimeout)
	w.claimed = w.claimed.Add(size)
	s.planner.Claim(w.id, size)
	s.ledger.Charge(t.job.team, size)
	s.claims = append(s.claims, t)
}

// releaseClaim releases the claim of a task, if it has one.
func (s *Scheduler) releaseClaim(t *task) {
	if t.claim == nil {
		return
	}
	t.claim.claimed = t.claim.claimed.Sub(t.claimSize)
	s.planner.Resize(t.claim.id, t.claimSize, resource.Vector{})
	s.ledger.Release(t.job.team, t.claimSize)
	t.claim = nil
	if t.holding {
		t.holding = false
		s.holds--
	}
	s.claims = slices.DeleteFunc(s.claims, func(c *task) bool { return c == t })
	s.dirty = true
}
