package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// markUnproven marks a run, which is being started, as a possible cause of a crash of its worker.
func (r *run) markUnproven() {
	if !r.unproven {
		r.unproven, r.isSuspect = true, r.task.IsSuspect()
		r.worker.countUnproven(r.task.Step.Job, r.isSuspect, 1)
	}
}

// markProven excludes a run as the cause of later crashes of its worker.
func (r *run) markProven() {
	if r.unproven {
		r.unproven = false
		r.worker.countUnproven(r.task.Step.Job, r.isSuspect, -1)
	}
}

// timeToProve returns how long a run must have worked to be proven. The members of a gang work only once all are present.
func (d *Dispatcher) timeToProve(r *run) time.Duration {
	if r.task.Step.GetGang() && r.progress == 0 {
		return provenAfter + d.config.Limits.GangTimeout
	}
	return provenAfter
}

// observeProof marks a run that its worker lists as running as proven once it has worked for long enough. Its task doesn't
// crash each worker that starts it, so that earlier crashes had other causes.
func (d *Dispatcher) observeProof(r *run) {
	if !r.unproven && !isBlamed(r.task) {
		return
	}
	since := r.acknowledgedAt
	if since.IsZero() {
		since = r.began // the start wasn't answered
	}
	if d.now.Sub(since) < d.timeToProve(r) {
		return
	}
	r.markProven()
	if isBlamed(r.task) && !r.clearing {
		d.forgetCrashes(r)
	}
}

// isBlamed reports whether crashes count against a task or its gang.
func isBlamed(task *workload.Task) bool { return task.IsSuspect() || task.Pauses > 0 }

// forgetCrashes proposes to reset the crash counts of the task of a proven run.
func (d *Dispatcher) forgetCrashes(r *run) {
	r.clearing = true
	forget := &controlpb.ForgetCrashes{Task: r.key.Task.Ref()}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_ForgetCrashes{ForgetCrashes: forget}}, func(*controlpb.Result) { r.clearing = false })
}
