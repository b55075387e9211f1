// Package daemon assembles a daemon from its settings: transport, log store, replica, gateway, collector and HTTP servers.
// One kernel starts these components and stops them together.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/consensus"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/bootstrap"
	"galenamoor/internal/shell/collector"
	"galenamoor/internal/shell/explain"
	"galenamoor/internal/shell/gateway"
	"galenamoor/internal/shell/kernel"
	"galenamoor/internal/shell/logstore"
	"galenamoor/internal/shell/replica"
	"galenamoor/internal/shell/settings"
	"galenamoor/internal/shell/transport"
)

// Options configure a daemon.
type Options struct {
	Settings  *settings.Settings
	Bootstrap bool // bootstrap a new cluster when the data folder is empty
	Clock     clockwork.Clock
	Log       logr.Logger
}

// Daemon is one node of the system. Normally each runs in a process of its own; demos and tests run several in one process.
type Daemon struct {
	settings    *settings.Settings
	clock       clockwork.Clock
	log         logr.Logger
	baseLog     logr.Logger // for components that add the host themselves
	incarnation uint64      // identifies this start of the daemon; the time of the start in Unix nanoseconds

	transport     *transport.Transport
	store         *logstore.Store // nil without a data folder
	recovered     *logstore.Recovered
	identity      uint64 // of the replica
	bootstrapper  *bootstrap.Bootstrapper
	kernel        *kernel.Kernel
	gateway       *gateway.Gateway
	collector     *collector.Collector
	draining      atomic.Bool
	lastMessageAt atomic.Int64 // time of the last consensus message from another daemon, in Unix nanoseconds
	bootstrap     bool
}

// New opens the data folder and the socket for peer connections. Run starts all other components.
func New(options Options) (*Daemon, error) {
	d := &Daemon{
		settings:    options.Settings,
		clock:       options.Clock,
		log:         options.Log.WithValues("Host", options.Settings.Host),
		baseLog:     options.Log,
		incarnation: uint64(options.Clock.Now().UnixNano()),
		bootstrap:   options.Bootstrap,
		kernel:      kernel.New(),
	}
	if err := d.openStore(); err != nil {
		return nil, err
	}
	if err := d.openTransport(); err != nil {
		d.closeStore()
		return nil, err
	}
	d.bootstrapper = d.newBootstrapper()
	return d, nil
}

// newBootstrapper returns a Bootstrapper for a cluster of the controllers listed in the settings.
func (d *Daemon) newBootstrapper() *bootstrap.Bootstrapper {
	bootstrapper := &bootstrap.Bootstrapper{
		Host: d.settings.Host, Identity: d.identity, Transport: d.transport, Clock: d.clock, Log: d.log,
	}
	for _, peer := range d.settings.Peers {
		if peer.Controller {
			bootstrapper.Controllers = append(bootstrapper.Controllers, bootstrap.Controller{Host: peer.Host, Address: peer.Address})
		}
	}
	bootstrapper.Bootstrapped.Store(d.recovered.IsUsed())
	return bootstrapper
}

// bootstrapMembership returns the initial membership of a new cluster, or nil when this daemon restores its state or joins
// a cluster.
func (d *Daemon) bootstrapMembership(ctx context.Context) (*controlpb.Membership, error) {
	if !d.bootstrap || d.store == nil {
		return nil, nil
	}
	return d.bootstrapper.Bootstrap(ctx)
}

func (d *Daemon) openStore() error {
	d.recovered = &logstore.Recovered{Identity: rand.Uint64() | 1}
	if d.settings.DataFolder != "" {
		store, recovered, err := logstore.Open(d.settings.DataFolder, logstore.Options{})
		if err != nil {
			return trace.Wrap(err, "open data folder %s", d.settings.DataFolder)
		}
		d.store, d.recovered = store, recovered
	}
	d.identity = d.recovered.Identity
	return nil
}

func (d *Daemon) closeStore() {
	if d.store != nil {
		_ = d.store.Close()
	}
}

func (d *Daemon) openTransport() error {
	opened, err := transport.New(transport.Options{Host: d.settings.Host, Listen: d.settings.PeerAddress, Log: d.baseLog})
	if err != nil {
		return trace.Wrap(err, "open peer address %s", d.settings.PeerAddress)
	}
	d.transport = opened
	return nil
}

// SetPartitioned partitions the daemon from its peers, or ends the partition. During a partition, messages are dropped
// silently in both directions.
func (d *Daemon) SetPartitioned(partitioned bool) {
	d.transport.SetPartitioned(partitioned)
}

// Run runs the daemon until the context is done, then shuts it down gracefully: the daemon reports itself as not ready,
// drains calls in progress, transfers leadership and stops.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.closeStore()
	defer d.transport.Close()
	transportDone := make(chan error, 1)
	go func() { transportDone <- d.transport.Serve(&peerHandler{daemon: d}) }()

	membership, err := d.bootstrapMembership(ctx)
	if err != nil {
		return err
	}
	localReplica, err := d.newReplica(membership)
	if err != nil {
		return err
	}
	if err := d.newServices(localReplica); err != nil {
		return err
	}
	d.lastMessageAt.Store(d.clock.Now().UnixNano())
	if err := d.register(localReplica); err != nil {
		return err
	}
	d.log.Info("daemon started", "Replica", d.identity, "Calls", d.settings.Calls.String(), "Control", d.settings.Control.String())
	err = d.runServices(ctx, localReplica, transportDone)
	d.log.Info("daemon stopped", "Replica", d.identity)
	return err
}

func (d *Daemon) newReplica(membership *controlpb.Membership) (*replica.Replica, error) {
	state := controlstate.New()
	core := replica.CoreConfig{
		Consensus: consensus.Config{
			ID:        d.identity,
			Bootstrap: membership,
			Rand:      rand.New(rand.NewPCG(d.identity, d.incarnation)),
		},
		StateMachine: state,
		CompactAfter: uint64(d.settings.SnapshotEntries),
		NewCoordinator: func(leaseValid func(time.Time) bool) replica.Coordinator {
			return newCoordinator(state, d.clock, leaseValid)
		},
	}
	options := replica.Options{
		Host:        d.settings.Host,
		Address:     d.settings.PeerAddress,
		Core:        core,
		Restored:    consensus.Restored{HardState: d.recovered.HardState, Snapshot: d.recovered.Snapshot, Entries: d.recovered.Entries},
		Store:       replica.DiscardStore{},
		Transport:   d.transport,
		Clock:       d.clock,
		Log:         d.baseLog,
		Seeds:       d.seeds(),
		QueueLength: d.settings.QueueLength,
	}
	if d.store != nil {
		options.Store = d.store
	}
	localReplica, err := replica.New(options)
	return localReplica, trace.Wrap(err, "start replica")
}

func (d *Daemon) newServices(localReplica *replica.Replica) error {
	created, err := gateway.New(gateway.Config{
		Name:        d.settings.Host,
		Incarnation: d.incarnation,
		Zone:        d.settings.Zone,
		Ledger:      &ledger{daemon: d, replica: localReplica},
		Clock:       d.clock,
		Log:         d.log,
		Seed:        d.incarnation,
		SendReport:  d.sendReports(localReplica),
	})
	if err != nil {
		return err
	}
	d.gateway = created
	d.publishMetrics(localReplica)
	d.collector = collector.New(collector.Config{
		Host:       d.settings.Host,
		DataFolder: d.settings.DataFolder,
		Gateway:    created,
		Peers:      &collectorPeers{daemon: d},
		View:       func() *controlstate.View { return localReplica.View().State },
		PredictLate: func(ctx context.Context) ([]string, error) {
			return explain.LateJobs(ctx, &control{daemon: d, replica: localReplica})
		},
		Clock: d.clock,
		Log:   d.log,
	})
	return nil
}

// seeds returns the addresses of the other daemons.
func (d *Daemon) seeds() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, peer := range d.settings.Peers {
		if peer.Host != d.settings.Host {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// Names under which the components of a daemon are registered in the kernel.
const (
	serviceReplica   = "Replica"
	serviceGateway   = "Gateway"
	serviceCollector = "Collector"
)

// register registers the components in the kernel. The replica comes last, so that code that finds it finds the others too.
func (d *Daemon) register(localReplica *replica.Replica) error {
	components := []struct {
		name    string
		service any
	}{{serviceGateway, d.gateway}, {serviceCollector, d.collector}, {serviceReplica, localReplica}}
	for _, component := range components {
		if err := d.kernel.Register(component.name, component.service); err != nil {
			return err
		}
	}
	return nil
}

// startedReplica returns the replica, and false until the daemon has started it.
func (d *Daemon) startedReplica() (*replica.Replica, bool) {
	found, err := kernel.Find[*replica.Replica](d.kernel, serviceReplica)
	return found, err == nil
}
