// Package controller assembles a controller process: it holds a replica of the control state, and schedules work while it
// is the leader.
package controller

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	"galenamoor/internal/shell/bootstrap"
	"galenamoor/internal/shell/budget"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/latency"
	"galenamoor/internal/shell/listener"
	"galenamoor/internal/shell/logstore"
	"galenamoor/internal/shell/replica"
	"galenamoor/internal/shell/suspension"
	"galenamoor/internal/shell/transport"
	"galenamoor/internal/shell/workercall"
)

const (
	// membershipCheckInterval is the interval between membership checks. It delays the first check of a new leader and the
	// replacement of a lost voter.
	membershipCheckInterval = 200 * time.Millisecond
	// membershipRecheckDelay is the delay from a membership change to the next check. It is short because replacing a voter
	// takes two changes, and losing another voter between them would lose the quorum.
	membershipRecheckDelay = 50 * time.Millisecond
	// membershipChangeTimeout bounds one membership change.
	membershipChangeTimeout = time.Second
)

// errRemoved is returned when other members have removed this replica's identity from the membership.
var errRemoved = errors.New("this replica was removed from the control group")

// Options configure a controller.
type Options struct {
	Name              string           // of this process in logs and metrics
	Control           netip.AddrPort   // address of Handler
	Peers             netip.AddrPort   // address for other daemons
	Metrics           netip.AddrPort   // metrics are not served if it is invalid
	Seeds             []netip.AddrPort // peer addresses of the initial controllers
	Bootstrap         bool             // bootstrap a new cluster if the data folder is empty and this process is a seed
	DataFolder        string
	WorkerLimits      dispatch.Limits
	ToleratedFailures int // number of simultaneous host failures to tolerate
	Client            workercall.Client
	Handler           func(leader *replica.Replica) http.Handler
	// MaxBody returns the largest body of a request of an operator or a worker in bytes.
	MaxBody func(*http.Request) int64
	Budget  *budget.Budget
	// Reloads delivers the seeds each time the settings are reloaded.
	Reloads <-chan []netip.AddrPort
	Clock   clockwork.Clock
	Log     logr.Logger
}

// controller is one run of a controller process, with one replica identity.
type controller struct {
	Options
	store        *logstore.Store
	recovered    *logstore.Recovered
	transport    *transport.Transport
	bootstrapper *bootstrap.Bootstrapper
	components   *kernel.Kernel
	counters     *expvar.Map
	latencies    *latency.Recorder
}

// serviceReplica is the name under which the replica is registered in the kernel.
const serviceReplica = "Replica"

// Run runs a controller until the context is done, and then transfers leadership. A replica that was removed from the
// membership rejoins under a new identity with an empty data folder.
func Run(ctx context.Context, options Options) error {
	counters, latencies := expvar.NewMap("Dispatch"), latency.New("Latency")
	for {
		c := &controller{Options: options, counters: counters, latencies: latencies, components: kernel.New()}
		err := c.run(ctx)
		if !errors.Is(err, errRemoved) {
			return err
		}
		options.Log.Info("restarting with an empty data folder", "Step", "rejoin", "Folder", options.DataFolder)
		if err := logstore.Discard(options.DataFolder, logstore.Options{}); err != nil {
			return trace.Wrap(err, "empty %s", options.DataFolder)
		}
		options.Bootstrap = false
	}
}

func (c *controller) run(ctx context.Context) error {
	store, recovered, err := logstore.Open(c.DataFolder, logstore.Options{})
	if err != nil {
		return trace.Wrap(err, "open data folder %s", c.DataFolder)
	}
	defer store.Close()
	c.store, c.recovered = store, recovered
	c.transport, err = transport.New(transport.Options{Host: c.Name, Listen: c.Peers, Log: c.Log, Budget: c.Budget})
	if err != nil {
		return trace.Wrap(err, "open peer address %s", c.Peers)
	}
	defer c.transport.Close()
	c.bootstrapper = c.newBootstrapper()
	transportDone := make(chan error, 1)
	go func() { transportDone <- c.transport.Serve(&peerHandler{controller: c}) }()
	membership, err := c.bootstrapMembership(ctx)
	if err != nil {
		return err
	}
	return c.serve(ctx, membership, transportDone)
}

// host returns the host name of this process in the membership. Only the addresses of seeds are known, so it is the peer
// address.
func (c *controller) host() string { return c.Peers.String() }

func (c *controller) newBootstrapper() *bootstrap.Bootstrapper {
	bootstrapper := &bootstrap.Bootstrapper{Host: c.host(), Identity: c.recovered.Identity, Transport: c.transport, Clock: c.Clock, Log: c.Log}
	for _, seed := range c.Seeds {
		bootstrapper.Controllers = append(bootstrapper.Controllers, bootstrap.Controller{Host: seed.String(), Address: seed})
	}
	bootstrapper.Bootstrapped.Store(c.recovered.IsUsed())
	return bootstrapper
}

// bootstrapMembership returns the initial membership of a new cluster, or nil when this process restores its state or joins
// a cluster. Only seeds bootstrap a cluster.
func (c *controller) bootstrapMembership(ctx context.Context) (*controlpb.Membership, error) {
	if !c.Bootstrap {
		return nil, nil
	}
	for _, seed := range c.Seeds {
		if seed == c.Peers {
			return c.bootstrapper.Bootstrap(ctx)
		}
	}
	return nil, nil
}

// serve runs all components until the context is done or one of them fails.
func (c *controller) serve(ctx context.Context, membership *controlpb.Membership, transportDone <-chan error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	localReplica, err := c.newReplica(ctx, membership)
	if err != nil {
		return err
	}
	if err := c.components.Register(serviceReplica, localReplica); err != nil {
		return err
	}
	control, err := listener.New(listener.Options{
		Name: budget.Public, Address: c.Control, Handler: c.Handler(localReplica), Budget: c.Budget, MaxBody: c.MaxBody,
	})
	if err != nil {
		return err
	}
	c.components.Go("replica", localReplica.Run)
	c.components.Go("control", control.Run)
	c.components.Go("membership", func(ctx context.Context) error { return c.reconcileMembership(ctx, localReplica) })
	c.components.Go("reload", func(ctx context.Context) error { return c.reload(ctx, localReplica) })
	c.components.Go("transport", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case err := <-transportDone:
			return trace.Wrap(err, "serve peers")
		}
	})
	c.components.Go("metrics", listener.Metrics(c.Metrics, c.Budget, c.Log))
	c.Log.Info("controller started", "Replica", c.recovered.Identity, "Control", c.Control.String(), "Entries", len(c.recovered.Entries),
		"Truncated", c.recovered.Truncated)
	err = c.components.Run(shutdownContext(ctx, localReplica, c.Log))
	c.Log.Info("controller stopped", "Replica", c.recovered.Identity)
	return err
}

// shutdownContext returns a context that is cancelled once ctx is done and leadership has then been transferred.
func shutdownContext(ctx context.Context, localReplica *replica.Replica, log logr.Logger) context.Context {
	shutdown, cancelShutdown := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer cancelShutdown()
		<-ctx.Done()
		log.Info("stopping", "Step", "transfer leadership", "Leading", localReplica.View().Leading)
		localReplica.Stop(shutdown)
	}()
	return shutdown
}

// newReplica assembles a replica from consensus, control state and dispatcher.
func (c *controller) newReplica(ctx context.Context, membership *controlpb.Membership) (*replica.Replica, error) {
	state := controlstate.New()
	var localReplica *replica.Replica
	workerCalls := workercall.New(ctx, c.Client, c.Clock, func() { localReplica.Wake() })
	core := replica.CoreConfig{
		Consensus: consensus.Config{
			ID:        c.recovered.Identity,
			Bootstrap: membership,
			Rand:      rand.New(rand.NewPCG(c.recovered.Identity, uint64(c.Clock.Now().UnixNano()))),
		},
		StateMachine: state,
		NewCoordinator: func(leaseValid func(time.Time) bool) replica.Coordinator {
			return dispatch.New(dispatch.Config{
				State:       func() *workload.State { return state.Workload() },
				WorkerCalls: workerCalls,
				Mailbox:     workerCalls,
				Limits:      c.WorkerLimits,
				BoundCalls:  true,
				LeaseValid:  leaseValid,
				Wall:        c.Clock.Now,
				Log:         c.Log,
				Count:       func(name string) { c.counters.Add(name, 1) },
				Observe:     c.latencies.Observe,
			})
		},
	}
	detector, err := suspension.New()
	if err != nil {
		return nil, trace.Wrap(err, "start replica")
	}
	localReplica, err = replica.New(replica.Options{
		Host:      c.host(),
		Address:   c.Peers,
		Core:      core,
		Restored:  consensus.Restored{HardState: c.recovered.HardState, Snapshot: c.recovered.Snapshot, Entries: c.recovered.Entries},
		Store:     c.store,
		Transport: c.transport,
		Clock:     c.Clock,
		Log:       c.Log,
		Seeds:     c.exceptSelf(c.Seeds),
		Suspended: func() bool { return c.suspended(detector) },
	})
	return localReplica, trace.Wrap(err, "start replica")
}

// suspended reports whether the host was suspended since the last call. A failure to read the clocks counts as a
// suspension.
func (c *controller) suspended(detector *suspension.Detector) bool {
	suspended, err := detector.Suspended()
	if err != nil {
		c.Log.Error(err, "cannot detect suspension of the host", "Step", "read clocks")
		return true
	}
	return suspended
}

// exceptSelf returns the seeds except this process.
func (c *controller) exceptSelf(seeds []netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, seed := range seeds {
		if seed != c.Peers {
			others = append(others, seed)
		}
	}
	return others
}

// reload applies reloaded settings to the replica.
func (c *controller) reload(ctx context.Context, localReplica *replica.Replica) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-c.Reloads:
			c.Log.Info("settings reloaded", "Seeds", len(seeds))
			localReplica.SetSeeds(c.exceptSelf(seeds))
		}
	}
}

// reconcileMembership repairs the membership while this process leads. It returns errRemoved once this replica was removed,
// and an error when the replica has failed.
func (c *controller) reconcileMembership(ctx context.Context, localReplica *replica.Replica) error {
	started := c.Clock.Now()
	reconciler := voters.New(c.ToleratedFailures, started)
	wait := membershipCheckInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(wait):
		}
		wait = membershipCheckInterval
		if localReplica.Removed() {
			return errRemoved
		}
		view := localReplica.View()
		if view.Failed != nil {
			return trace.Wrap(view.Failed, "the replica has failed; the process exits to be restarted")
		}
		if !view.Leading {
			reconciler = voters.New(c.ToleratedFailures, started)
			continue
		}
		peers := map[uint64]voters.Peer{}
		for _, p := range view.Peers {
			peers[p.ID] = voters.Peer{Active: p.Active}
		}
		if change := reconciler.Next(c.Clock.Now(), view.ID, view.Membership.GetMembers(), peers); change != nil {
			c.changeMembership(ctx, localReplica, change)
			wait = membershipRecheckDelay
		}
	}
}

func (c *controller) changeMembership(ctx context.Context, localReplica *replica.Replica, change *controlpb.MembershipChange) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	reply := localReplica.Submit(ctx, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Membership{Membership: change}})
	c.Log.Info("membership change", "Step", change.GetKind().String(), "Member", change.GetMember().GetId(),
		"Peer", change.GetMember().GetAddress(), "Result", reply.GetResult().GetCode().String(), "Reason", reply.GetResult().GetMessage())
}
