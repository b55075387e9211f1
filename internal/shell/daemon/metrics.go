package daemon

import (
	"expvar"

	"galenamoor/internal/shell/replica"
)

// Metrics of the daemons in this process, by host. A daemon that is started again replaces its entry.
var (
	daemonMetrics  = expvar.NewMap("Daemon")
	gatewayMetrics = expvar.NewMap("GatewayCalls")
)

// metrics are the published metrics of one daemon.
type metrics struct {
	Ready                        bool
	UnreadyReason                string
	Leading                      bool
	ConfigurationVersion         uint64
	ConfigurationAgeMilliseconds int64 // since the configuration was last confirmed as current; -1 before the first time
	CallsInProgress              int
}

func (d *Daemon) publishMetrics(localReplica *replica.Replica) {
	gatewayMetrics.Set(d.settings.Host, d.gateway.Var())
	daemonMetrics.Set(d.settings.Host, expvar.Func(func() any { return d.metrics(localReplica) }))
}

func (d *Daemon) metrics(localReplica *replica.Replica) metrics {
	view := localReplica.View()
	now := d.clock.Now()
	m := metrics{
		UnreadyReason:                d.unreadyReason(view, now),
		Leading:                      view.Leading,
		ConfigurationVersion:         view.State.Version,
		ConfigurationAgeMilliseconds: -1,
		CallsInProgress:              d.gateway.CallsInProgress(),
	}
	m.Ready = m.UnreadyReason == ""
	if !view.FreshAt.IsZero() {
		m.ConfigurationAgeMilliseconds = now.Sub(view.FreshAt).Milliseconds()
	}
	return m
}
