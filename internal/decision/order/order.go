// Package order defines the calls that a leader makes to workers, the advice service and the platform, and their answers.
package order

import (
	"net/netip"
	"sync/atomic"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Kind is the operation that a call requests.
type Kind int

// Kinds of calls.
const (
	Start     Kind = iota // start a run
	Stop                  // stop a run, saving a checkpoint if possible
	Poll                  // report running and ended runs, and renew the lease
	SetSpeed              // throttle a run to a percentage of its full speed
	Advise                // list the workers that may run a step; sent to the advice service
	ListHosts             // list the hosts; sent to the platform
	Maintain              // begin the maintenance of a host; sent to the platform
)

// String returns the kind's name for logs, in which Poll is "Look" and SetSpeed is "Pace".
func (k Kind) String() string {
	return [...]string{"Start", "Stop", "Look", "Pace", "Advise", "ListHosts", "Maintain"}[k]
}

// Call is one call to a worker, the advice service or the platform. But for ExpediteEnds, it must not be changed once it is sent.
type Call struct {
	Kind               Kind
	Incarnation        uint32 // number of the worker's incarnation
	ID                 string // worker ID; another incarnation rejects the call
	IncarnationStartMs int64  // start of the incarnation in Unix milliseconds, 0 when unknown; a restarted worker may reuse its ID
	Address            netip.AddrPort
	Epoch              uint64    // epoch of the calling leader
	Fence              uint64    // fencing token; a worker rejects calls below the highest one that it has seen
	Sent               time.Time // by the leader's clock
	Urgent             bool      // reserved room stays unused until it is answered; it overtakes calls that aren't urgent

	Run        workload.RunKey // of Start, Stop and SetSpeed
	Spec       string          // of Start
	Checkpoint string          // of Start: checkpoint to resume from; empty to start from the beginning
	Ticket     string          // of Start: ticket of the advice service, if the queue requires one
	Percent    int             // of SetSpeed: percentage of full speed that the run is limited to

	Step      *workload.Step // of Advise
	WorkerIDs []string       // of Advise: IDs of the candidate workers

	Host string // of Maintain
	Wave uint64 // of Maintain: number of the maintenance wave

	// LeaseExpiry is when the lease for everything on the worker expires, by the worker's clock; 0 leaves the lease
	// unchanged.
	LeaseExpiry time.Duration

	RecordedEnds uint64        // of Poll: number of the last run end that the leader has recorded
	Wait         time.Duration // of Poll: long-poll timeout, within which the worker may wait for a run to end

	hasUrgentEnds atomic.Bool
}

// ExpediteEnds makes the answer to a poll urgent if it lists ends. It may be called at any time, also after the call was sent.
func (c *Call) ExpediteEnds() { c.hasUrgentEnds.Store(true) }

// IsBound reports whether a call must reach no other incarnation of the worker than the one that it names, because it grants a lease or
// acknowledges ends: a later one would go on with runs, or forget ends, that the leader doesn't know of.
func (c *Call) IsBound() bool {
	return c.IncarnationStartMs != 0 && (c.LeaseExpiry > 0 || c.RecordedEnds > 0)
}

// Status classifies the outcome of a call.
type Status int

// Statuses of calls.
const (
	NoAnswer         Status = iota // no response; the call may have been carried out or may still be
	OK                             // carried out
	OtherIncarnation               // another incarnation responded at the address; the addressed one has ended
	Fenced                         // the worker has seen a higher fencing token
	StaleRun                       // the worker has already seen this run number or a higher one
	Expired                        // LeaseExpiry had passed
	NoCapacity                     // the worker lacks capacity
	Unhealthy                      // the worker rejected the call without effect
	Invalid                        // the call can never be carried out
	NoTicket                       // the call carried no valid ticket
	Busy                           // the host can't be maintained now
	OtherWave                      // the host doesn't belong to the wave
)

// String returns the status's name for logs. The logs use older names for OtherIncarnation, StaleRun, Expired and NoCapacity.
func (s Status) String() string {
	return [...]string{"NoAnswer", "OK", "OtherLife", "Fenced", "Stale", "Late", "Full", "Unhealthy", "Invalid", "NoTicket", "Busy", "OtherWave"}[s]
}

// Answer is the outcome of a call, also if no response arrived.
type Answer struct {
	Call               *Call
	Status             Status
	Received           time.Time            // by the leader's clock
	Clock              time.Duration        // the worker's clock when it responded; 0 when unknown
	RespondentStartMs  int64                // start of the responding incarnation in Unix milliseconds, 0 when it doesn't tell
	IncarnationStartMs int64                // the same if it has the same ID and isn't the addressed one, else 0
	Running            []Running            // of Poll
	Ended              []Ended              // of Poll
	EndsIncomplete     bool                 // of Poll: there may be more ends than those listed
	Tickets            map[string]string    // of Advise: by ID of each worker that may run the step
	ValidFor           time.Duration        // of Advise: validity of the tickets, from when they were issued
	Hosts              map[string]HostState // of ListHosts: by host name
	HostsIncomplete    bool                 // of ListHosts: entries of the list can't be read, and may be of any host that isn't in Hosts
	NotSent            bool                 // of NoAnswer: the call hasn't left this host, and won't be carried out
	Unstarted          bool                 // of NoAnswer: it was queued in this process until its timeout; nothing was sent, and it tells nothing about the worker
	Rerouted           bool                 // another incarnation has answered on the same connection before, so that calls aren't bound by it
	Err                error                // cause of NoAnswer
}

// IsUrgent reports whether the answer lists ends of runs whose room other tasks may wait for.
func (a *Answer) IsUrgent() bool { return len(a.Ended) > 0 && a.Call.hasUrgentEnds.Load() }

// HostState is the state of a host as listed by the platform.
type HostState int

// States of hosts.
const (
	HostUp          HostState = iota // in service
	HostUnavailable                  // in maintenance, being moved, or down
)

// Running describes a run in progress on a worker.
type Running struct {
	Run        workload.RunKey
	Checkpoint string
	Percent    int // progress; of a serving task: 100 once it is serving
	// Measurement is an approximate value over the last half second: the tail latency in milliseconds of a serving
	// task, or the milli-cores in use of any other task. It is negative if the worker reported none.
	Measurement int64
}

// Ended describes a run that has ended on a worker.
type Ended struct {
	Number     uint64 // sequence number of the run end within the worker's incarnation
	Run        workload.RunKey
	Result     controlpb.RunEnd
	Checkpoint string
}
