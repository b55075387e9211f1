// Package order holds the calls that a leader makes to workers, and their answers.
package order

import (
	"net/netip"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// Kind says what a call asks for.
type Kind int

// Kinds of calls.
const (
	Start     Kind = iota // start a run
	Stop                  // stop a run, which saves a checkpoint if it can
	Look                  // tell what runs and what has ended, and extend the lease
	Pace                  // let a run work at a part of its speed
	Advise                // tell which workers may run a step; asked of the advice service, not of a worker
	ListHosts             // tell which hosts there are; asked of the platform
	Maintain              // begin the maintenance of a host; asked of the platform
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"Start", "Stop", "Look", "Pace", "Advise", "ListHosts", "Maintain"}[k]
}

// Call is one call to a worker. It must not be changed once it is sent.
type Call struct {
	Kind    Kind
	Worker  uint32 // number of the life
	ID      string // of the worker; another life refuses the call
	Born    int64  // Unix milliseconds of the life's start, 0 when unknown; a worker may come back under its old ID
	Address netip.AddrPort
	Epoch   uint64 // of the leader that makes the call
	Fence   uint64 // workers do nothing for a fence below the highest one that they have seen
	Sent    time.Time

	Run        workload.RunKey // of Start, Stop and Pace
	Spec       string          // of Start
	Checkpoint string          // of Start: where to resume; empty for the beginning
	Ticket     string          // of Start: the advice service's, where the queue needs one
	Percent    int             // of Pace: the share of its speed at which the run may work

	Step  *workload.Step // of Advise
	Names []string       // of Advise: workers by ID

	Host string // of Maintain
	Wave uint64 // of Maintain: that the operators asked for

	// Until is when everything on the worker lapses, on the worker's clock; 0 leaves the lease as it is.
	Until time.Duration

	EndsSeen uint64        // of Look: number of the last end that is recorded
	Wait     time.Duration // of Look: how long the worker may wait for an end before it answers
}

// Status classifies an answer.
type Status int

// Statuses of answers.
const (
	NoAnswer  Status = iota // the call may have been carried out, or may be later
	OK                      // carried out
	OtherLife               // the worker at the address is another life; the one that was called is over
	Fenced                  // the worker has seen a higher epoch
	Stale                   // a run of this number or a higher one was there before
	Late                    // Until had passed
	Full                    // the worker has no room
	Unhealthy               // the worker refused without doing anything
	Invalid                 // the call can't be carried out at all
	NoTicket                // the start carried no valid ticket
	Busy                    // the host can't be maintained now
	OtherWave               // the host isn't one of the wave
)

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"NoAnswer", "OK", "OtherLife", "Fenced", "Stale", "Late", "Full", "Unhealthy", "Invalid", "NoTicket", "Busy", "OtherWave"}[s]
}

// Answer is the outcome of a call.
type Answer struct {
	Call     *Call
	Status   Status
	Received time.Time
	Clock    time.Duration        // the worker's clock when it answered; 0 when unknown
	Born     int64                // of OtherLife: when the life began that answered under the same ID; 0 for another ID
	Running  []Running            // of Look
	Ended    []Ended              // of Look
	Tickets  map[string]string    // of Advise: by ID of the workers that may run the step
	ValidFor time.Duration        // of Advise: from when the tickets were given
	Hosts    map[string]HostState // of ListHosts: by name
	Err      error                // why there is no answer
}

// HostState is the state of a host that the platform lists.
type HostState int

// States of hosts.
const (
	HostUp   HostState = iota // works
	HostAway                  // is maintained, moved or down
)

// Running is a run at work on a worker.
type Running struct {
	Run        workload.RunKey
	Checkpoint string
	Percent    int // progress; of a task that serves: 100 once it is at work
	// Gauge is a rough figure for the last half second: the tail latency in milliseconds of a task that serves, the
	// milli-cores in use of any other. It is negative when the worker told none.
	Gauge int64
}

// Ended is a run that has ended on a worker.
type Ended struct {
	Number     uint64 // counts the ends of a life
	Run        workload.RunKey
	How        controlpb.RunEnd
	Checkpoint string
}
