package daemon

import (
	"context"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/shell/httpapi"
	"galenamoor/internal/shell/replica"
)

const (
	// requestTimeout bounds the wait for the leader's decision. A leader election takes up to 1.8 s.
	requestTimeout = 4 * time.Second
	// renewalTimeout bounds the wait for an endpoint's lease renewal. It is well below the lease of 2.5 s, so that the
	// endpoint can retry at another daemon before the lease expires.
	renewalTimeout = 800 * time.Millisecond
)

// isolationTimeout is the time without a message from any other daemon after which a voter reports itself as not ready. It
// is ten heartbeats, and longer than the 800 ms within which every voter that can reach others starts an election.
const isolationTimeout = time.Second

// control implements httpapi.Control on the local replica.
type control struct {
	daemon  *Daemon
	replica *replica.Replica
}

// Submit implements httpapi.Control.
func (c *control) Submit(ctx context.Context, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	if c.daemon.isolated(c.replica.View(), c.daemon.clock.Now()) {
		return unavailable("this host is cut off from the other daemons: ask another one")
	}
	timeout := requestTimeout + time.Duration(request.GetPoll().GetWait())
	if request.GetEndpointRenewal() != nil {
		timeout = renewalTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.replica.Submit(ctx, request)
}

// View implements httpapi.Control.
func (c *control) View() *controlstate.View {
	return c.replica.View().State
}

// Status implements httpapi.Control.
func (c *control) Status() httpapi.DaemonStatus {
	view := c.replica.View()
	now := c.daemon.clock.Now()
	status := httpapi.DaemonStatus{
		Host:   c.daemon.settings.Host,
		Index:  view.Applied,
		Term:   view.Term,
		Leader: hostOf(view, view.Leader),
		Reason: c.daemon.unreadyReason(view, now),
	}
	if !view.FreshAt.IsZero() {
		status.Age = now.Sub(view.FreshAt)
	}
	status.Ready = status.Reason == ""
	return status
}

// unreadyReason returns why the load balancer should send no calls to this daemon, or "" when it is ready.
func (d *Daemon) unreadyReason(view *replica.View, now time.Time) string {
	serviceWithoutSlots := d.serviceWithoutSlots(view)
	switch {
	case d.draining.Load():
		return "stopping: calls in progress finish"
	case view.Failed != nil:
		return view.Failed.Error()
	case view.FreshAt.IsZero():
		return "no configuration has been confirmed since the start"
	case !view.Fresh(now):
		return "stale: the configuration could not be confirmed for " + now.Sub(view.FreshAt).Round(time.Millisecond).String()
	case d.isolated(view, now):
		return "isolated: no other daemon was heard for over " + isolationTimeout.String()
	case serviceWithoutSlots != "":
		return "no slot of service " + serviceWithoutSlots + " is granted to this gateway yet"
	case !d.gateway.Ready():
		return "the gateway has no confirmed routes"
	}
	return ""
}

// isolated reports whether this daemon is a voter that has received nothing from any other daemon for isolationTimeout.
// Voters exchange messages during an election, so this distinguishes a partitioned host from a cluster without a leader
// before the configuration becomes stale.
func (d *Daemon) isolated(view *replica.View, now time.Time) bool {
	if !view.Voter || len(d.settings.Peers) < 2 {
		return false
	}
	return now.UnixNano()-d.lastMessageAt.Load() > int64(isolationTimeout)
}

// serviceWithoutSlots returns the name of a service that has endpoints but no slot granted to this gateway, or "". Calls to
// it would queue here while other gateways hold the slots.
func (d *Daemon) serviceWithoutSlots(view *replica.View) string {
	for name, endpoints := range view.State.Services {
		announced, granted := int32(0), int32(0)
		for _, endpoint := range endpoints {
			slots, _ := endpoint.Granted(d.settings.Host, d.incarnation)
			announced += endpoint.Slots
			granted += slots
		}
		if announced > 0 && granted == 0 {
			return name
		}
	}
	return ""
}

func hostOf(view *replica.View, id uint64) string {
	for _, member := range view.Members {
		if member.GetId() == id && id != 0 {
			return member.GetHost()
		}
	}
	return ""
}

// Leading reports whether this daemon leads and can reach a quorum.
func (d *Daemon) Leading() bool {
	localReplica, ok := d.startedReplica()
	return ok && localReplica.View().Leading && localReplica.View().Fresh(d.clock.Now())
}
