package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/account"
	"galenamoor/internal/decision/workload"
)

// When callers of one client account submit far more than its share, and all is full, the jobs of the other accounts would wait behind
// theirs, and be rejected once the backlog is full. A job in excess of its account's share is therefore less urgent than those within the
// shares, and an account may hold only its part of a backlog that is more than half full.

const (
	// excessLossShare is the share of the processor time lost by a preemption that counts for runs of jobs in excess.
	excessLossShare = 0.5

	// sharedBoundPart is the part of a bound from which on each client account may take only its share of it.
	sharedBoundPart = 0.5

	// minHeldJobs and minHeldLoad are what a client account may hold however small its share is.
	minHeldJobs = 16
	minHeldLoad = 1000
)

// isInExcess reports whether a job was accepted in excess of its client account's share.
func (d *Dispatcher) isInExcess(job *workload.Job) bool {
	return job.Spec.GetExcessMs() > 0 && d.state.ClientAccount(job.Spec.GetAccount()) != nil
}

// rankByShare makes a candidate less urgent if its job is in excess. Among those, the ones of the accounts that are the furthest ahead of
// their shares are due last. Interrupted lasting tasks go on as others.
func (d *Dispatcher) rankByShare(c *candidate) {
	if !c.interrupted && d.isInExcess(c.step.Job) {
		c.inExcess = true
		c.due = c.due.Add(time.Duration(c.step.Job.Spec.GetExcessMs()) * time.Millisecond)
	}
}

// compareShares orders jobs within the shares of their client accounts before those in excess, also if they are late: a flood of new jobs would
// otherwise go before the jobs that it has delayed. Jobs that are too late go last.
func compareShares(a, b candidate) int {
	if isTooLate := a.timeliness == tooLate; isTooLate != (b.timeliness == tooLate) {
		return compareTrueFirst(!isTooLate, isTooLate)
	}
	return compareTrueFirst(!a.inExcess, !b.inExcess)
}

// meterSubmission records in a job by how much its client account is ahead of its share.
func (d *Dispatcher) meterSubmission(job *controlpb.WorkJob) {
	job.ExcessMs = 0
	if holder := d.state.ClientAccount(job.GetAccount()); holder != nil {
		excess := d.submissions.Accept(holder.GetName(), account.Weight(holder), time.UnixMilli(job.GetAcceptedMs()))
		if job.ExcessMs = excess.Milliseconds(); job.GetExcessMs() > 0 {
			d.config.Count("JobsInExcess")
		}
	}
}

// inheritSubmissions counts the submissions that earlier leaders have accepted and that are unfinished.
func (d *Dispatcher) inheritSubmissions() {
	for _, job := range d.state.Jobs() {
		if holder := d.state.ClientAccount(job.Spec.GetAccount()); holder != nil {
			d.submissions.Restore(holder.GetName(), account.Weight(holder), time.UnixMilli(job.Spec.GetAcceptedMs()),
				time.Duration(job.Spec.GetExcessMs())*time.Millisecond)
		}
	}
}

// exceedsHeldShare reports whether a job would bring what its client account holds above its share of a bound of its queue that is more than
// half full.
func (d *Dispatcher) exceedsHeldShare(queue *controlpb.WorkQueue, job *controlpb.WorkJob, load int) bool {
	share := d.state.AccountShare(job.GetAccount())
	if share == 0 {
		return false
	}
	part := queueShare(queue)
	isShared := func(held, bound int) bool { return float64(held) >= sharedBoundPart*part*float64(bound) }
	jobsShared, loadShared := isShared(d.unfinished(), maxJobs), isShared(d.state.Load()+d.submittingLoad+load, maxLoad)
	if !jobsShared && !loadShared {
		return false
	}
	jobs, held := d.state.HeldBy(job.GetAccount())
	for _, waiting := range d.submitting {
		if other := waiting[0].GetWork().GetCaller().GetJob(); other.GetAccount() == job.GetAccount() {
			jobs, held = jobs+1, held+workload.Load(other)
		}
	}
	return jobsShared && jobs >= max(minHeldJobs, int(share*part*maxJobs)) ||
		loadShared && held+load > max(minHeldLoad, int(share*part*maxLoad))
}

// preemptionLoss returns the processor time, in core-seconds, that counts as lost when a run is stopped.
func (d *Dispatcher) preemptionLoss(r *run) float64 {
	cost := d.preemptionCost(r)
	if d.isInExcess(r.task.Step.Job) {
		cost *= excessLossShare
	}
	return cost
}
