// Package workerlink sends requests to workers over connections of which the caller knows which incarnation of the worker holds the other end.
//
// A request that is written to a TCP connection can be read only by the process that has accepted it. Once an answer on a connection has
// identified the incarnation, all later requests on it reach that incarnation or none, even if another one listens at the same address by then.
// An http.Transport doesn't give this: it chooses the connection, and may open a new one for a request.
package workerlink

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// maxIdle is the maximum number of idle links to an address: one for a long poll and two for orders.
	maxIdle = 3

	// maxLinks bounds the links to an address. A worker accepts 64 connections.
	maxLinks = 6

	// idleTimeout is the time after which an idle link is closed. Reusing a connection is cheaper than opening one.
	idleTimeout = 90 * time.Second

	// sweepInterval is the time between two searches for links that have been idle for too long.
	sweepInterval = 10 * time.Second
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps the links to all workers. It is safe for concurrent use.
type Pool struct {
	dial  Dial
	clock clockwork.Clock

	mutex    sync.Mutex
	hosts    map[netip.AddrPort]*host
	sweeping bool // a sweep is scheduled
}

// host holds the links to one address.
type host struct {
	slots chan struct{} // holds an element for each link in use
	users int           // callers that wait for a link or have one
	idle  []*Link       // in the order of their release
}

// New returns an empty Pool, which opens connections with dial.
func New(dial Dial, clock clockwork.Clock) *Pool {
	return &Pool{dial: dial, clock: clock, hosts: map[netip.AddrPort]*host{}}
}

// Acquire returns a link to an address for the caller's exclusive use, until it is released. It prefers an idle one to the given incarnation,
// then any idle one, and opens a new one otherwise. If too many are in use, it waits for one of them.
func (p *Pool) Acquire(ctx context.Context, address netip.AddrPort, incarnation Incarnation) (*Link, error) {
	h := p.enter(address)
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		p.leave(address, h)
		return nil, fmt.Errorf("waiting for a connection to %s: %w", address, ctx.Err())
	}
	for link := p.takeIdle(h, incarnation); link != nil; link = p.takeIdle(h, incarnation) {
		if link.isOpen() && !link.leadsToOther(incarnation) {
			return link, nil
		}
		link.close()
	}
	connection, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		<-h.slots
		p.leave(address, h)
		return nil, err
	}
	return newLink(connection, address, h), nil
}

// Release returns a link to the pool, which closes it if it can't be used again.
func (p *Pool) Release(link *Link) {
	link.idleSince = p.clock.Now()
	p.mutex.Lock()
	keeps := !link.broken && !link.rerouted && len(link.host.idle) < maxIdle
	if keeps {
		link.host.idle = append(link.host.idle, link)
		p.scheduleSweep()
	}
	p.mutex.Unlock()
	if !keeps {
		link.close()
	}
	<-link.host.slots
	p.leave(link.address, link.host)
}

// enter returns the host at an address, which stays until the caller leaves it.
func (p *Pool) enter(address netip.AddrPort) *host {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{slots: make(chan struct{}, maxLinks)}
		p.hosts[address] = h
	}
	h.users++
	return h
}

// leave ends the caller's use of a host, which is forgotten if it has no links.
func (p *Pool) leave(address netip.AddrPort, h *host) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h.users--
	if h.users == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// takeIdle removes and returns the most recently released idle link to an incarnation, or to any if there is none, or nil.
func (p *Pool) takeIdle(h *host, incarnation Incarnation) *Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(h.idle) == 0 {
		return nil
	}
	chosen := len(h.idle) - 1
	for i, link := range slices.Backward(h.idle) {
		if link.incarnation == incarnation {
			chosen = i
			break
		}
	}
	link := h.idle[chosen]
	h.idle = slices.Delete(h.idle, chosen, chosen+1)
	return link
}

// scheduleSweep makes sure that a sweep follows. The mutex is held.
func (p *Pool) scheduleSweep() {
	if !p.sweeping {
		p.sweeping = true
		p.clock.AfterFunc(sweepInterval, p.sweep)
	}
}

// sweep closes the links that have been idle for too long, and is repeated while there are others.
func (p *Pool) sweep() {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sweeping = false
	for address, h := range p.hosts {
		for len(h.idle) > 0 && now.Sub(h.idle[0].idleSince) >= idleTimeout {
			h.idle[0].close()
			h.idle = h.idle[1:]
		}
		if len(h.idle) > 0 {
			p.scheduleSweep()
		}
		if h.users == 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}
