package workload

import (
	"bytes"

	"galenamoor/internal/controlpb"
)

// Requester is who asks for something about jobs: the holder of a key, or anyone on an open queue.
type Requester struct {
	Account   string // empty on an open queue, and where no accounts are configured
	KeyDigest []byte
	openQueue string // the queue if it is open
	isTrusted bool   // no accounts are configured
}

// owned is a job, or the record of one that has ended, with its owner.
type owned interface {
	GetAccount() string
	GetKeyDigest() []byte
	GetQueue() string
}

// MayAccess reports whether the requester may read and cancel a job. Those are the jobs of its account, those submitted with its key while
// another account held that, and those that belong to no account. An open queue gives access to its own jobs.
func (r Requester) MayAccess(job owned) bool {
	switch {
	case r.isTrusted || job.GetAccount() == "":
		return true
	case r.openQueue != "":
		return job.GetQueue() == r.openQueue
	}
	return job.GetAccount() == r.Account || bytes.Equal(job.GetKeyDigest(), r.KeyDigest)
}

// Cancellation returns the requester's cancellation of a job.
func (r Requester) Cancellation(id string) *controlpb.CancelWork {
	return &controlpb.CancelWork{Id: id, Account: r.Account, KeyDigest: r.KeyDigest, OpenQueue: r.openQueue}
}

// cancelled is a cancellation, or the record of one.
type cancelled interface {
	GetAccount() string
	GetKeyDigest() []byte
	GetOpenQueue() string
}

// RequesterOf returns who has cancelled a job. A cancellation without a requester is of a deployment without accounts, or of an earlier
// version.
func RequesterOf(c cancelled) Requester {
	return Requester{
		Account: c.GetAccount(), KeyDigest: c.GetKeyDigest(), openQueue: c.GetOpenQueue(),
		isTrusted: c.GetAccount() == "" && c.GetOpenQueue() == "",
	}
}

// Authenticate returns who asks for something on a queue, by the digest of the presented key. It reports false if the queue needs a key
// and no account of the active routing holds this one.
func (s *State) Authenticate(queue *controlpb.WorkQueue, keyDigest []byte) (Requester, bool) {
	switch {
	case !s.routing.GetHasAccounts():
		return Requester{isTrusted: true}, true
	case queue.GetOpen():
		return Requester{openQueue: queue.GetName()}, true
	}
	holder := s.accounts.Holder(keyDigest)
	if holder == nil {
		return Requester{}, false
	}
	return Requester{Account: holder.GetName(), KeyDigest: keyDigest}, true
}

// ClientAccount returns the named client account of the active routing, or nil.
func (s *State) ClientAccount(name string) *controlpb.ClientAccount { return s.accounts.Named(name) }

// AccountShare returns the part of a client account's weight in the weights of all accounts of the active routing, 0 for others.
func (s *State) AccountShare(name string) float64 { return s.accounts.Share(name) }

// held is what the unfinished jobs of a client account, and those with live runs, take of the bounds on all jobs.
type held struct{ jobs, load int }

// HeldBy returns the number of the jobs of a client account that are unfinished or still have live runs, and the sum of their loads.
func (s *State) HeldBy(account string) (jobs, load int) {
	return s.held[account].jobs, s.held[account].load
}

// countHeld adds a job to what its client account holds, or subtracts it if sign is negative.
func (s *State) countHeld(j *Job, sign int) {
	name := j.Spec.GetAccount()
	if name == "" {
		return
	}
	h := held{s.held[name].jobs + sign, s.held[name].load + sign*j.load}
	if h.jobs == 0 {
		delete(s.held, name)
		return
	}
	s.held[name] = h
}

// MayAccess reports whether a requester may read and cancel a job. Unknown jobs count as accessible, so that answers don't tell those of
// others from them.
func (s *State) MayAccess(r Requester, id string) bool {
	if j := s.jobs[id]; j != nil {
		return r.MayAccess(j.Spec)
	}
	return r.MayAccess(s.finished[id])
}

// outcomeOf returns the record of a job that has ended.
func outcomeOf(spec *controlpb.WorkJob, state controlpb.WorkState, at int64) *controlpb.FinishedWork {
	return &controlpb.FinishedWork{
		Id: spec.GetId(), State: state, AtMs: at, Queue: spec.GetQueue(), Account: spec.GetAccount(), KeyDigest: spec.GetKeyDigest(),
	}
}
