package demo

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"galenamoor/internal/shell/daemon"
	"galenamoor/internal/shell/settings"
	"galenamoor/internal/standin/balancer"
	"galenamoor/internal/standin/loopback"
)

// clusterSize is the number of daemons.
const clusterSize = 3

// drainDelay lasts several probe intervals of the simulated load balancer, so that it notices that a daemon is stopping.
const drainDelay = 500 * time.Millisecond

// cluster runs the daemons of the demo, and the client side that finds them.
type cluster struct {
	names            []string
	daemons          []*daemon.Daemon
	controlAddresses []netip.AddrPort
	balancer         *balancer.Balancer
	cancels          []context.CancelFunc
	running          sync.WaitGroup
	cancelAll        context.CancelFunc
}

func startCluster(ctx context.Context, folder string, zones []string, log logr.Logger) (*cluster, error) {
	all, err := clusterSettings(folder, zones)
	if err != nil {
		return nil, err
	}
	// The daemons don't end with the caller's context, so that they can be stopped after the simulated workers.
	daemonsCtx, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	c := &cluster{cancelAll: stopAll}
	var callAddresses []netip.AddrPort
	for _, s := range all {
		d, err := daemon.New(daemon.Options{Settings: s, Bootstrap: true, Clock: clockwork.NewRealClock(), Log: log})
		if err != nil {
			c.stop()
			return nil, err
		}
		daemonCtx, cancel := context.WithCancel(daemonsCtx)
		c.names = append(c.names, s.Host)
		c.daemons = append(c.daemons, d)
		c.cancels = append(c.cancels, cancel)
		c.controlAddresses = append(c.controlAddresses, s.Control)
		callAddresses = append(callAddresses, s.Calls)
		c.running.Go(func() {
			if err := d.Run(daemonCtx); err != nil && daemonCtx.Err() == nil {
				log.Error(err, "daemon failed", "Host", s.Host)
			}
		})
	}
	c.balancer = balancer.New(c.controlAddresses, callAddresses)
	c.running.Go(func() { c.balancer.Watch(daemonsCtx) })
	return c, nil
}

func clusterSettings(folder string, zones []string) ([]*settings.Settings, error) {
	var all []*settings.Settings
	var peers []settings.Peer
	for i := range clusterSize {
		host, err := loopback.New()
		if err != nil {
			return nil, err
		}
		s := &settings.Settings{
			Host: fmt.Sprintf("entry-%d", i+1), Zone: zones[i%len(zones)], LogLevel: "info", DrainDelay: drainDelay, DrainTimeout: 10 * time.Second,
			Calls: host.Next(), Control: host.Next(), PeerAddress: host.Next(),
			SnapshotEntries: 10_000, QueueLength: 4096, CallsInProgress: 4096,
		}
		s.DataFolder = filepath.Join(folder, s.Host)
		all = append(all, s)
		peers = append(peers, settings.Peer{Host: s.Host, Address: s.PeerAddress, Controller: true})
	}
	for _, s := range all {
		s.Peers = peers
	}
	return all, nil
}

// leader returns the index of the leading daemon, or 0 if there is none.
func (c *cluster) leader() int {
	for i, d := range c.daemons {
		if d.Leading() {
			return i
		}
	}
	return 0
}

// stopDaemon starts the graceful stop of a daemon and doesn't wait for its end.
func (c *cluster) stopDaemon(i int) {
	c.cancels[i]()
}

// stop stops all daemons and waits until they have ended.
func (c *cluster) stop() {
	c.cancelAll()
	c.running.Wait()
}
