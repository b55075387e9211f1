package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/allotment"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

// A client account may have limits on what its tasks use together. What counts is all that may be running: proposed runs, and those of the
// replicated state until it is certain that they don't work, so that a new leader counts the same from the runs that it inherits. A step
// whose account has no room for one more of its tasks, or for its gang, is left out of the passes: it holds no room and preempts nothing.

// chargeAccount counts a task of a step in the use of its client account, or no longer if sign is negative. Best-effort tasks count with
// their processors.
func (d *Dispatcher) chargeAccount(step *workload.Step, sign int) {
	if name := step.Job.Spec.GetAccount(); name != "" {
		d.allotments.Charge(name, need(step), sign)
	}
}

// accountRoom returns the number of further tasks of a step that the limits of its client account allow, math.MaxInt without a limit.
func (d *Dispatcher) accountRoom(step *workload.Step) int {
	name := step.Job.Spec.GetAccount()
	if name == "" {
		return math.MaxInt
	}
	account := d.state.ClientAccount(name)
	if !isLimited(account) {
		return math.MaxInt
	}
	return d.allotments.Room(account, need(step), d.reservedNeed(name))
}

func isLimited(account *controlpb.ClientAccount) bool {
	return account.GetProcessors() > 0 || account.GetMemory() > 0 || account.GetAccelerators() > 0
}

// isAtAccountLimit reports whether the limits of its client account keep a step from starting another task or, if it is a gang, all of its
// tasks.
func (d *Dispatcher) isAtAccountLimit(step *workload.Step) bool {
	unit := 1
	if step.GetGang() {
		unit = len(step.Tasks)
	}
	return d.accountRoom(step) < unit
}

// isAboveAccountLimit reports whether the client account of a step uses more than its limits, as when they were lowered.
func (d *Dispatcher) isAboveAccountLimit(step *workload.Step) bool {
	name := step.Job.Spec.GetAccount()
	return name != "" && d.allotments.Exceeds(d.state.ClientAccount(name))
}

// mayAssignReserved reports whether the limits of its client account allow a waiting task for which room is reserved.
func (d *Dispatcher) mayAssignReserved(step *workload.Step) bool {
	name := step.Job.Spec.GetAccount()
	return name == "" || d.allotments.Room(d.state.ClientAccount(name), need(step), d.reservedNeed(name).Sub(need(step))) > 0
}

// reservedNeed returns what those tasks of a client account need for which room is reserved and that aren't charged: those that are moved,
// between two runs, and those that others make room for. Without it other tasks of the account would take their place meanwhile.
func (d *Dispatcher) reservedNeed(account string) resource.Vector {
	if len(d.relocations.reserved) == 0 {
		return resource.Vector{}
	}
	if d.reservedNeeds == nil {
		d.reservedNeeds = map[string]resource.Vector{}
		for task := range d.relocations.reserved {
			if name := task.Step.Job.Spec.GetAccount(); name != "" && !d.isCharged(task) {
				d.reservedNeeds[name] = d.reservedNeeds[name].Add(need(task.Step))
			}
		}
	}
	return d.reservedNeeds[account]
}

// isCharged reports whether a run of a task counts in the use of its client account.
func (d *Dispatcher) isCharged(task *workload.Task) bool {
	return d.assigning[task.Key()] || slices.ContainsFunc(task.Runs, func(assigned workload.Run) bool {
		r := d.runs[workload.RunKey{Task: task.Key(), Run: assigned.Number}]
		return r != nil && !r.released
	})
}

// limitMissing returns how many of the missing tasks of a step, and of its missing suspect tasks, the limits of its client account allow.
func (d *Dispatcher) limitMissing(step *workload.Step, missing, suspects int) (allowed, allowedSuspects int) {
	room := d.accountRoom(step)
	allowed = min(missing, room)
	return allowed, min(suspects, room-allowed)
}

// withdrawAboveLimit withdraws a run that wasn't ordered yet when a routing configuration lowered the limits of its client account.
func (d *Dispatcher) withdrawAboveLimit(r *run) {
	d.config.Count("StartsAboveAccountLimit")
	d.config.Log.Info("start exceeds account limit", "Task", r.key.Task.String(), "Run", r.key.Run, "Account", r.task.Step.Job.Spec.GetAccount())
	r.nextStart = time.Time{}
	d.settleAnswered(r)
	d.stopGang(r)
	d.drop(r)
}

// neverFitsAccount reports whether a job has a task, or a gang, that needs more than the limits of its client account allow in all.
func (d *Dispatcher) neverFitsAccount(job *controlpb.WorkJob) bool {
	account := d.state.ClientAccount(job.GetAccount())
	return isLimited(account) && slices.ContainsFunc(job.GetSteps(), func(spec *controlpb.WorkStep) bool {
		unit := 1
		if spec.GetGang() {
			unit = int(spec.GetCount())
		}
		return allotment.Capacity(account, need(&workload.Step{WorkStep: spec})) < unit
	})
}

// servingWaits sums up the processors that waiting serving tasks will reserve, for each client account at most what its limit leaves.
type servingWaits struct {
	dispatcher *Dispatcher
	left       map[string]int64 // milli-cores that the limits leave, by account
}

// of returns the milli-cores that the waiting tasks of a serving step will reserve beside those of the steps before.
func (s *servingWaits) of(step *workload.Step) int64 {
	wanted, name := int64(step.Waiting)*step.GetProcessors(), step.Job.Spec.GetAccount()
	limit := s.dispatcher.state.ClientAccount(name).GetProcessors()
	if limit == 0 {
		return wanted
	}
	left, isKnown := s.left[name]
	if !isKnown {
		left = max(0, limit-s.dispatcher.allotments.Use(name).Processors)
	}
	taken := min(wanted, left)
	s.left[name] = left - taken
	return taken
}

// maxReportedAccounts bounds the client accounts in a log line on their use.
const maxReportedAccounts = 10

// accountUse is what a log line tells about a client account. Processors are in milli-cores.
type accountUse struct {
	Account                string
	Processors, Limit      int64
	Memory, MemoryLimit    int64   // MiB
	Accelerators           int64   // whole devices
	Waiting, WaitingBeyond int     // tasks, and those of them that the account's limits keep from starting
	Share                  float64 // of the weights of all accounts
	UsedShare              float64 // of the processors that all accounts use
}

// load is the used part of a limit or, if it is higher, of the share.
func (u *accountUse) load() float64 {
	load := 0.0
	if u.Limit > 0 {
		load = float64(u.Processors) / float64(u.Limit)
	}
	if u.Share > 0 {
		load = max(load, u.UsedShare/u.Share)
	}
	return load
}

// reportAccounts logs the use of the most loaded client accounts, if there are any.
func (d *Dispatcher) reportAccounts(candidates []candidate) {
	if !d.state.Routing().GetHasAccounts() {
		return
	}
	byName := map[string]*accountUse{}
	total := int64(0)
	for _, account := range d.state.Routing().GetAccounts() {
		used := d.allotments.Use(account.GetName())
		total += used.Processors
		byName[account.GetName()] = &accountUse{
			Account: account.GetName(), Processors: used.Processors, Limit: account.GetProcessors(), Memory: used.Memory,
			MemoryLimit: account.GetMemory(), Accelerators: used.Accelerators,
		}
	}
	atLimit := map[string]bool{}
	for _, c := range candidates {
		use := byName[c.step.Job.Spec.GetAccount()]
		if use == nil {
			continue
		}
		use.Waiting += c.step.Waiting
		if d.isAtAccountLimit(c.step) {
			use.WaitingBeyond += c.step.Waiting
			atLimit[use.Account] = true
		}
	}
	for name, use := range byName {
		use.Share = d.state.AccountShare(name)
		use.UsedShare = float64(use.Processors) / float64(max(1, total))
	}
	busiest := slices.SortedFunc(maps.Values(byName), func(a, b *accountUse) int {
		return cmp.Or(cmp.Compare(b.load(), a.load()), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Account, b.Account))
	})
	d.config.Log.Info("client accounts", "Accounts", len(busiest), "AtLimit", len(atLimit), "MostLoaded", busiest[:min(len(busiest), maxReportedAccounts)])
}

// refuseForAccount rejects a job that can never start within the limits of its client account, or that would bring what the account holds
// above its share of the bounds. It returns nil if the job may be accepted.
func (d *Dispatcher) refuseForAccount(queue *controlpb.WorkQueue, id string, job *controlpb.WorkJob, load int) *controlpb.LeaderReply {
	if d.neverFitsAccount(job) {
		d.config.Count("JobsRefused.NeverFitsAccount")
		d.config.Log.Info("job refused", "Job", id, "Queue", queue.GetName(), "Reason", "NeverFitsAccount", "Account", job.GetAccount())
		return outcome(controlpb.WorkOutcome_WORK_INVALID)
	}
	if d.exceedsHeldShare(queue, job, load) {
		return d.refuse(queue, id, "AccountShare", overloadRetryDelay, "Account", job.GetAccount(), "Unfinished", d.unfinished(), "Load", d.state.Load()+d.submittingLoad, "Own", load)
	}
	return nil
}
