// Package allotment accounts for what the tasks of client accounts use together, and compares it with the limits of the accounts. A leader
// derives it from the runs of the replicated state.
package allotment

import (
	"math"

	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// Ledger holds the use of each client account. It isn't safe for concurrent use.
type Ledger struct {
	used map[string]resource.Vector // of the accounts that use anything
}

// New returns a ledger without use.
func New() *Ledger { return &Ledger{used: map[string]resource.Vector{}} }

// Charge adds what a task needs to the use of an account, or subtracts it if sign is negative.
func (l *Ledger) Charge(account string, need resource.Vector, sign int) {
	used := l.used[account]
	if sign > 0 {
		used = used.Add(need)
	} else {
		used = used.Sub(need)
	}
	if used.IsZero() {
		delete(l.used, account)
		return
	}
	l.used[account] = used
}

// Use returns what the tasks of an account use.
func (l *Ledger) Use(account string) resource.Vector { return l.used[account] }

// Room returns the number of further tasks, each with the given need, that the limits of an account allow beside its use and what is
// reserved for other tasks of it. It is math.MaxInt without a limit, and 0 if the account exceeds one.
func (l *Ledger) Room(account *controlpb.ClientAccount, need, reserved resource.Vector) int {
	return tasksWithin(account, l.used[account.GetName()].Add(reserved), need)
}

// Exceeds reports whether an account uses more than one of its limits.
func (l *Ledger) Exceeds(account *controlpb.ClientAccount) bool {
	used := l.used[account.GetName()]
	isAbove := func(limit, used int64) bool { return limit > 0 && used > limit }
	return isAbove(account.GetProcessors(), used.Processors) || isAbove(account.GetMemory(), used.Memory) ||
		isAbove(account.GetAccelerators(), used.Accelerators)
}

// Capacity returns the number of tasks, each with the given need, that the limits of an account allow at the same time. It is math.MaxInt
// without a limit.
func Capacity(account *controlpb.ClientAccount, need resource.Vector) int {
	return tasksWithin(account, resource.Vector{}, need)
}

// tasksWithin returns the number of tasks that the limits of an account allow beside what is used. A resource that the tasks don't need
// doesn't limit them.
func tasksWithin(account *controlpb.ClientAccount, used, need resource.Vector) int {
	count := int64(math.MaxInt)
	limitBy := func(limit, used, need int64) {
		if limit > 0 && need > 0 {
			count = min(count, max(0, limit-used)/need)
		}
	}
	limitBy(account.GetProcessors(), used.Processors, need.Processors)
	limitBy(account.GetMemory(), used.Memory, need.Memory)
	limitBy(account.GetAccelerators(), used.Accelerators, need.Accelerators)
	return int(count)
}
