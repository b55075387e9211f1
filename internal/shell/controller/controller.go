// Package controller assembles the process that keeps the replicated state, and schedules while it leads.
package controller

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/dispatch"
	"galenamoor/internal/decision/voters"
	"galenamoor/internal/decision/workload"
	"galenamoor/internal/shell/founding"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/latency"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/logstore"
	"galenamoor/internal/shell/orderer"
	"galenamoor/internal/shell/replica"
	"galenamoor/internal/shell/suspension"
	"galenamoor/internal/shell/transport"
)

const (
	// stewardInterval is the time between two looks at the membership.
	stewardInterval = 500 * time.Millisecond
	// stewardPause is the time from one change of the membership to the next look. Replacing a voter takes two changes, and
	// another loss between them would leave no majority.
	stewardPause = 50 * time.Millisecond
	// membershipTimeout bounds one change of the membership.
	membershipTimeout = time.Second
)

// errRemoved ends a replica whose identity the others have removed.
var errRemoved = errors.New("this replica was removed from the control group")

// Options describe a controller.
type Options struct {
	Name       string
	Control    netip.AddrPort
	Peers      netip.AddrPort
	Metrics    netip.AddrPort // not valid: none
	Seeds      []netip.AddrPort
	Bootstrap  bool
	DataFolder string
	Workers    dispatch.Limits
	Tolerated  int // hosts whose loss at once must be borne
	Client     orderer.Client
	Handler    func(leader *replica.Replica) http.Handler
	// Reloads brings new seeds.
	Reloads <-chan []netip.AddrPort
	Clock   clockwork.Clock
	Log     logr.Logger
}

// controller is one process.
type controller struct {
	Options
	store     *logstore.Store
	recovered *logstore.Recovered
	transport *transport.Transport
	founder   *founding.Founder
	parts     *kernel.Kernel
	counters  *expvar.Map
	latencies *latency.Recorder
}

// serviceReplica is the name of the replica in the kernel.
const serviceReplica = "Replica"

// Run runs a controller until the context ends, and then hands leadership on. A replica that the others have removed
// begins anew with an empty data folder.
func Run(ctx context.Context, options Options) error {
	counters, latencies := expvar.NewMap("Dispatch"), latency.New("Latency")
	for {
		c := &controller{Options: options, counters: counters, latencies: latencies, parts: kernel.New()}
		err := c.run(ctx)
		if !errors.Is(err, errRemoved) {
			return err
		}
		options.Log.Info("beginning anew with an empty data folder", "Step", "rejoin", "Folder", options.DataFolder)
		if err := empty(options.DataFolder); err != nil {
			return err
		}
		options.Bootstrap = false
	}
}

// empty removes what a folder holds.
func empty(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "empty %s", folder)
	}
	for _, entry := range entries {
		if err := os.RemoveAll(folder + "/" + entry.Name()); err != nil {
			return trace.Wrap(trace.ConvertSystemError(err), "empty %s", folder)
		}
	}
	return nil
}

func (c *controller) run(ctx context.Context) error {
	store, recovered, err := logstore.Open(c.DataFolder, logstore.Options{})
	if err != nil {
		return trace.Wrap(err, "open data folder %s", c.DataFolder)
	}
	defer store.Close()
	c.store, c.recovered = store, recovered
	c.transport, err = transport.New(transport.Options{Host: c.Name, Listen: c.Peers, Log: c.Log})
	if err != nil {
		return trace.Wrap(err, "open peer address %s", c.Peers)
	}
	defer c.transport.Close()
	c.founder = c.newFounder()
	serving := make(chan error, 1)
	go func() { serving <- c.transport.Serve(&peerHandler{controller: c}) }()
	membership, err := c.found(ctx)
	if err != nil {
		return err
	}
	return c.serve(ctx, membership, serving)
}

// host names this process among the members. Seeds are known by address only, so the address is the name.
func (c *controller) host() string { return c.Peers.String() }

func (c *controller) newFounder() *founding.Founder {
	founder := &founding.Founder{Host: c.host(), Identity: c.recovered.Identity, Transport: c.transport, Clock: c.Clock, Log: c.Log}
	for _, seed := range c.Seeds {
		founder.Controllers = append(founder.Controllers, founding.Controller{Host: seed.String(), Address: seed})
	}
	founder.Founded.Store(c.recovered.IsUsed())
	return founder
}

// found returns the membership to found a cluster with. Only seeds found one; the others join it.
func (c *controller) found(ctx context.Context) (*controlpb.Membership, error) {
	if !c.Bootstrap {
		return nil, nil
	}
	for _, seed := range c.Seeds {
		if seed == c.Peers {
			return c.founder.Found(ctx)
		}
	}
	return nil, nil
}

// serve runs all parts until the context ends or one fails.
func (c *controller) serve(ctx context.Context, membership *controlpb.Membership, serving <-chan error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	running, err := c.newReplica(ctx, membership)
	if err != nil {
		return err
	}
	if err := c.parts.Register(serviceReplica, running); err != nil {
		return err
	}
	control, err := listener.New(c.Control, c.Handler(running))
	if err != nil {
		return err
	}
	c.parts.Go("replica", running.Run)
	c.parts.Go("control", control.Run)
	c.parts.Go("steward", func(ctx context.Context) error { return c.steward(ctx, running) })
	c.parts.Go("reload", func(ctx context.Context) error { return c.reload(ctx, running) })
	c.parts.Go("transport", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-serving:
			return trace.Wrap(err, "serve peers")
		}
	})
	c.parts.Go("metrics", listener.Metrics(c.Metrics, c.Log))
	c.Log.Info("controller started", "Replica", c.recovered.Identity, "Control", c.Control.String(), "Entries", len(c.recovered.Entries),
		"Truncated", c.recovered.Truncated)
	err = c.parts.Run(handedOver(ctx, running, c.Log))
	c.Log.Info("controller stopped", "Replica", c.recovered.Identity)
	return err
}

// handedOver returns a context that ends once leadership was handed on after ctx ended.
func handedOver(ctx context.Context, running *replica.Replica, log logr.Logger) context.Context {
	ended, end := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer end()
		<-ctx.Done()
		log.Info("stopping", "Step", "hand over", "Leading", running.View().Leading)
		running.Stop(ended)
	}()
	return ended
}

// newReplica assembles consensus, control state and dispatcher.
func (c *controller) newReplica(ctx context.Context, membership *controlpb.Membership) (*replica.Replica, error) {
	state := controlstate.New()
	var running *replica.Replica
	orders := orderer.New(ctx, c.Client, c.Clock, func() { running.Wake() })
	core := replica.CoreConfig{
		Consensus: consensus.Config{
			ID:        c.recovered.Identity,
			Bootstrap: membership,
			Rand:      rand.New(rand.NewPCG(c.recovered.Identity, uint64(c.Clock.Now().UnixNano()))),
		},
		Machine: state,
		NewCoordinator: func(leaseValid func(time.Time) bool) replica.Coordinator {
			return dispatch.New(dispatch.Config{
				State:      func() *workload.State { return state.Work() },
				Orders:     orders,
				Mailbox:    orders,
				Limits:     c.Workers,
				LeaseValid: leaseValid,
				Wall:       c.Clock.Now,
				Log:        c.Log,
				Count:      func(name string) { c.counters.Add(name, 1) },
				Observe:    c.latencies.Observe,
			})
		},
	}
	detector, err := suspension.New()
	if err != nil {
		return nil, trace.Wrap(err, "start replica")
	}
	running, err = replica.New(replica.Options{
		Host:      c.host(),
		Address:   c.Peers,
		Core:      core,
		Restored:  consensus.Restored{HardState: c.recovered.HardState, Snapshot: c.recovered.Snapshot, Entries: c.recovered.Entries},
		Store:     c.store,
		Transport: c.transport,
		Clock:     c.Clock,
		Log:       c.Log,
		Seeds:     c.others(c.Seeds),
		Suspended: func() bool { return c.suspended(detector) },
	})
	return running, trace.Wrap(err, "start replica")
}

// suspended reports whether the host was suspended since the last call. A clock that can't be read counts as a suspension.
func (c *controller) suspended(detector *suspension.Detector) bool {
	suspended, err := detector.Suspended()
	if err != nil {
		c.Log.Error(err, "suspensions can't be noticed", "Step", "read clocks")
		return true
	}
	return suspended
}

// others returns seeds without this process itself.
func (c *controller) others(seeds []netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, seed := range seeds {
		if seed != c.Peers {
			others = append(others, seed)
		}
	}
	return others
}

// reload follows changes of the settings.
func (c *controller) reload(ctx context.Context, running *replica.Replica) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-c.Reloads:
			c.Log.Info("settings reloaded", "Seeds", len(seeds))
			running.SetSeeds(c.others(seeds))
		}
	}
}

// steward keeps the membership in order while this process leads, and ends the process's replica once it was removed.
func (c *controller) steward(ctx context.Context, running *replica.Replica) error {
	steward := voters.New(c.Tolerated)
	wait := stewardInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(wait):
		}
		wait = stewardInterval
		if running.Removed() {
			return errRemoved
		}
		view := running.View()
		if view.Failed != nil {
			return trace.Wrap(view.Failed, "the replica has failed; the process starts anew")
		}
		if !view.Leading {
			steward = voters.New(c.Tolerated)
			continue
		}
		peers := map[uint64]voters.Peer{}
		for _, p := range view.Peers {
			peers[p.ID] = voters.Peer{Active: p.Active}
		}
		if change := steward.Next(c.Clock.Now(), view.ID, view.Membership.GetMembers(), peers); change != nil {
			c.change(ctx, running, change)
			wait = stewardPause
		}
	}
}

func (c *controller) change(ctx context.Context, running *replica.Replica, change *controlpb.MembershipChange) {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	reply := running.Do(ctx, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Membership{Membership: change}})
	c.Log.Info("membership change", "Step", change.GetKind().String(), "Member", change.GetMember().GetId(),
		"Peer", change.GetMember().GetAddress(), "Result", reply.GetResult().GetCode().String(), "Reason", reply.GetResult().GetMessage())
}
