// Package budget decides how much memory and how many connections the clients of a process may hold. All listeners of the process share one
// Budget, and each has a number of connections of its own, so that a crowd at one of them doesn't close the others.
package budget

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

const (
	// memoryShare is the part of the process's memory that requests may hold together, and the part that idle connections may hold.
	memoryShare = 4
	// connectionBytes is what one connection holds at most before its request is read: goroutine, buffers and headers.
	connectionBytes = 48 << 10
	// reservedFiles are descriptors that aren't for sockets, unless they are more than half of all.
	reservedFiles = 200
	// publicShare and peerShare are the parts of the descriptors for sockets that connections of clients and of other daemons may use. The
	// others are for outgoing connections.
	publicShare, peerShare = 2, 8
	// probeConnections is the number of connections of readiness probes, and of readers of metrics.
	probeConnections = 32
	// firstBytes is the part of a reservation that may use the whole budget. Beyond it, reservations leave a quarter of the budget free, so
	// that large bodies don't displace ordinary ones.
	firstBytes = 64 << 10
	// quietTime is the time without a refusal after which a crowd has ended.
	quietTime = 10 * time.Second
)

// Listeners of a process.
const (
	Public    = "Public" // callers of an entry, operators and workers of a controller
	Peers     = "Peers"
	Readiness = "Readiness"
	Metrics   = "Metrics"
)

// published holds the totals since the start of the process.
var published = expvar.NewMap("Clients")

// Budget holds the bounds of one process and what is in use. It is safe for concurrent use.
type Budget struct {
	clock  clockwork.Clock
	log    logr.Logger
	memory int64 // limit of the process in bytes; 0 means unlimited
	total  int64 // bytes that requests may hold; 0 means unlimited
	// connections are the bounds by listener. A listener that is missing has none.
	connections map[string]int

	mutex    sync.Mutex
	held     int64            // bytes
	refusals map[string]int64 // in the current crowd, by listener and reason
	last     time.Time        // time of the last refusal
}

// New derives the bounds from the limits of the process: memory in bytes and the number of open descriptors. A limit of 0 means that there is
// none.
func New(memory, descriptors int64, clock clockwork.Clock, log logr.Logger) *Budget {
	b := &Budget{clock: clock, log: log, memory: memory, total: memory / memoryShare, refusals: map[string]int64{}}
	b.connections = map[string]int{Readiness: probeConnections, Metrics: probeConnections}
	if descriptors > 0 {
		sockets := max(descriptors-reservedFiles, descriptors/2)
		b.connections[Public], b.connections[Peers] = int(sockets/publicShare), int(sockets/peerShare)
	}
	if memory > 0 {
		affordable := int(memory / memoryShare / connectionBytes)
		if bound, isBound := b.connections[Public]; !isBound || affordable < bound {
			b.connections[Public] = affordable
		}
	}
	published.Set("BudgetBytes", expvar.Func(func() any { return b.total }))
	published.Set("HeldBytes", expvar.Func(func() any {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return b.held
	}))
	return b
}

// Memory returns the memory limit of the process in bytes, or 0 if there is none.
func (b *Budget) Memory() int64 { return b.memory }

// Connections returns the number of connections that a listener may have, or 0 if it is unlimited.
func (b *Budget) Connections(listener string) int { return b.connections[listener] }

// Reserve reserves bytes for a request that holds some already. It returns a trace.LimitExceeded error if they aren't free now, and a
// trace.BadParameter error if the request would need more than there is for all. The holder releases what it has reserved.
func (b *Budget) Reserve(held, bytes int64) error {
	if b.total == 0 {
		return nil
	}
	if held+bytes > b.total {
		return trace.BadParameter("a request needs %d bytes of memory, and there are %d for all", held+bytes, b.total)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := b.total
	if held+bytes > firstBytes {
		limit -= b.total / 4
	}
	// A request that is alone with its bytes may use everything.
	if b.held+bytes > limit && b.held > held {
		return trace.LimitExceeded("requests hold %d bytes of memory, and there are %d for all", b.held, b.total)
	}
	b.held += bytes
	return nil
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int64) {
	if b.total == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.held -= bytes
}

// Refused counts a refused request or a closed connection. The first one of a crowd is logged, and the end of the crowd with all numbers.
// Reasons come from a small fixed set.
func (b *Budget) Refused(listener, reason string) {
	name := listener + "." + reason
	published.Add(name, 1)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.last = b.clock.Now()
	b.refusals[name]++
	if len(b.refusals) == 1 && b.refusals[name] == 1 {
		b.log.Info("clients refused", "Listener", listener, "Reason", reason, "HeldBytes", b.held, "BudgetBytes", b.total)
		b.clock.AfterFunc(quietTime, b.checkQuiet)
	}
}

// checkQuiet logs the end of a crowd, or checks again later.
func (b *Budget) checkQuiet() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if quiet := b.clock.Since(b.last); quiet < quietTime {
		b.clock.AfterFunc(quietTime-quiet, b.checkQuiet)
		return
	}
	b.log.Info("clients no longer refused", "Refusals", maps.Clone(b.refusals))
	clear(b.refusals)
}
