package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/internal/decision/routing"
	"galenamoor/internal/shell/gateway"
	"galenamoor/internal/shell/replica"
	"galenamoor/internal/shell/slotreport"
)

// routeUpdateInterval is the interval at which the gateway receives changed routes and the time of their last confirmation.
const routeUpdateInterval = 20 * time.Millisecond

// updateRoutes updates the gateway's routes from the replica until the context is done.
func (d *Daemon) updateRoutes(ctx context.Context, localReplica *replica.Replica) error {
	ticker := d.clock.NewTicker(routeUpdateInterval)
	defer ticker.Stop()
	var last *controlstate.View
	version := uint64(0)
	for {
		view := localReplica.View()
		if view.State != last {
			version++
			d.logConfiguration(last, view)
			last = view.State
			d.gateway.Update(d.routes(version, view.State))
		}
		// Routes must be updated before they are confirmed: the confirmation states that they were current at that time.
		if !view.FreshAt.IsZero() && view.Failed == nil {
			d.gateway.ConfirmRoutes(view.FreshAt)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// logConfiguration logs a change of the active configuration version.
func (d *Daemon) logConfiguration(last *controlstate.View, view *replica.View) {
	if last != nil && last.Version == view.State.Version {
		return
	}
	d.log.Info("configuration applied", "Step", "apply", "Version", view.State.Version, "ZonesOut", view.State.ZonesOut, "Term", view.Term)
}

func (d *Daemon) routes(version uint64, view *controlstate.View) *gateway.Routes {
	routes := &gateway.Routes{Version: version, Services: map[string]gateway.ServiceRoutes{}}
	if view.Inventory == nil {
		return routes
	}
	for _, service := range view.Inventory.Services {
		serviceRoutes := gateway.ServiceRoutes{Queue: view.Rules.Service(service.Name).Queue}
		for _, endpoint := range view.Services[service.Name] {
			if route, ok := d.route(view, endpoint); ok {
				serviceRoutes.Endpoints = append(serviceRoutes.Endpoints, route)
			}
		}
		routes.Services[service.Name] = serviceRoutes
	}
	return routes
}

func (d *Daemon) route(view *controlstate.View, endpoint *controlstate.Endpoint) (routing.Endpoint, bool) {
	address, err := netip.ParseAddrPort(endpoint.Address)
	if err != nil {
		return routing.Endpoint{}, false
	}
	slots, epoch := endpoint.Granted(d.settings.Host, d.incarnation)
	return routing.Endpoint{
		Name:        endpoint.Name,
		Incarnation: endpoint.Incarnation,
		Address:     address,
		Zone:        endpoint.Zone,
		Unavailable: endpoint.Leaving || endpoint.Slots == 0 || view.IsZoneOut(endpoint.Zone),
		Slots:       int(slots),
		Epoch:       epoch,
	}, true
}

// sendReports returns a function that sends the gateway's reports to the leader. It is not safe for concurrent use.
func (d *Daemon) sendReports(localReplica *replica.Replica) func(context.Context, *controlpb.GatewayReport) error {
	reducer := &slotreport.Reducer{}
	return func(ctx context.Context, report *controlpb.GatewayReport) error {
		view := localReplica.View()
		services := map[string]string{}
		for service, endpoints := range view.State.Services {
			for _, endpoint := range endpoints {
				services[endpoint.Name] = service
			}
		}
		serviceOf := func(endpoint string) string { return services[endpoint] }
		now := d.clock.Now()
		if err := sendReport(ctx, localReplica, reducer.Reduce(now, view.Term, report, serviceOf)); err != nil {
			return err
		}
		reducer.Accepted(now)
		return nil
	}
}

// sendReport reports slots in use and demand to the leader. After an error the leader may not have processed the report.
func sendReport(ctx context.Context, localReplica *replica.Replica, report *controlpb.GatewayReport) error {
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_GatewayReport{GatewayReport: report}}
	result := localReplica.Submit(ctx, request).GetResult()
	if result.GetCode() != controlpb.ResultCode_RESULT_OK {
		return trace.ConnectionProblem(nil, "report slots in use: %s", result.GetMessage())
	}
	return nil
}
