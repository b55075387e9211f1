// Package quota accounts for the resources that teams use against their quotas. A team may borrow unused quota of other
// teams; borrowing work is the first to be preempted when the owner needs its quota.
package quota

import "galenamoor/pkg/resource"

// Admission is the outcome of an admission check: how the quotas cover a new task.
type Admission uint8

// Outcomes of admission checks.
const (
	Refused  Admission = iota // not covered
	Borrowed                  // covered by unused quota of other teams
	Owned                     // covered by the team's own quota
)

type account struct {
	quota, used resource.Vector
	stopping    resource.Vector // part of used by tasks that are being stopped
	mayBorrow   bool
	hasQuota    bool
}

// Ledger holds the accounts of all teams. Without any quota, all use counts as owned. It is not safe for concurrent use.
type Ledger struct {
	teams  map[string]*account
	total  resource.Vector // sum of quotas
	used   resource.Vector // sum of use
	quotas int             // number of teams with a quota
}

// New returns a ledger without quotas.
func New() *Ledger { return &Ledger{teams: map[string]*account{}} }

// Reset removes all quotas and keeps the use.
func (l *Ledger) Reset() {
	for _, a := range l.teams {
		a.quota, a.mayBorrow, a.hasQuota = resource.Vector{}, true, false
	}
	l.total, l.quotas = resource.Vector{}, 0
}

// SetQuota sets a team's quota and whether the team may borrow. A team without a quota owns nothing and may borrow.
func (l *Ledger) SetQuota(team string, quota resource.Vector, mayBorrow bool) {
	a := l.account(team)
	if !a.hasQuota {
		l.quotas++
	}
	l.total = l.total.Add(quota).Sub(a.quota)
	a.quota, a.mayBorrow, a.hasQuota = quota, mayBorrow, true
}

// Charge adds a task's size to a team's use.
func (l *Ledger) Charge(team string, size resource.Vector) {
	a := l.account(team)
	a.used = a.used.Add(size)
	l.used = l.used.Add(size)
}

// Release reverses a Charge.
func (l *Ledger) Release(team string, size resource.Vector) {
	a := l.account(team)
	a.used = a.used.Sub(size)
	l.used = l.used.Sub(size)
}

// MarkStopping marks a task's size as being stopped, so that it no longer counts as borrowed. A negative size reverses that.
// The size stays in use until it is released.
func (l *Ledger) MarkStopping(team string, size resource.Vector) {
	a := l.account(team)
	a.stopping = a.stopping.Add(size)
}

// Admit returns how the quotas would cover one more task of a team. It charges nothing. Resources that the task doesn't use
// are ignored.
func (l *Ledger) Admit(team string, size resource.Vector) Admission {
	if l.quotas == 0 {
		return Owned
	}
	a := l.account(team)
	if covered(a.used, size, a.quota) {
		return Owned
	}
	if a.mayBorrow && covered(l.used, size, l.total) {
		return Borrowed
	}
	return Refused
}

// Borrows reports whether a team exceeds its quota of some resource, not counting tasks that are being stopped.
func (l *Ledger) Borrows(team string) bool {
	if l.quotas == 0 {
		return false
	}
	a := l.account(team)
	return !a.used.Sub(a.stopping).Fits(a.quota)
}

// AnyBorrows reports whether any team exceeds its quota, not counting tasks that are being stopped.
func (l *Ledger) AnyBorrows() bool {
	if l.quotas == 0 {
		return false
	}
	for _, a := range l.teams {
		if !a.used.Sub(a.stopping).Fits(a.quota) {
			return true
		}
	}
	return false
}

// Use returns a team's use and its quota.
func (l *Ledger) Use(team string) (used, quota resource.Vector) {
	a := l.account(team)
	return a.used, a.quota
}

func (l *Ledger) account(team string) *account {
	a, ok := l.teams[team]
	if !ok {
		a = &account{mayBorrow: true}
		l.teams[team] = a
	}
	return a
}

func covered(used, size, limit resource.Vector) bool {
	return (size.Processors == 0 || used.Processors+size.Processors <= limit.Processors) &&
		(size.Memory == 0 || used.Memory+size.Memory <= limit.Memory) &&
		(size.Accelerators == 0 || used.Accelerators+size.Accelerators <= limit.Accelerators)
}
