package httpapi

import (
	"context"
	"net/netip"

	"galenamoor/api/gen/endpoints"
	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/coordinator"
)

type endpointService struct {
	control Control
}

// Announce implements endpoints.Service.
func (s *endpointService) Announce(ctx context.Context, p *endpoints.AnnouncePayload) (*endpoints.AnnounceResult, error) {
	address, err := netip.ParseAddrPort(p.Address)
	if err != nil || address.Port() == 0 {
		return nil, endpointProblem("Invalid", "Address: expected an IP address and port such as 10.1.2.3:8080", nil)
	}
	renewal := &controlpb.EndpointRenewal{
		Endpoint: &controlpb.Endpoint{
			Name:        p.Endpoint,
			Incarnation: p.Incarnation,
			Service:     p.Service,
			Address:     address.String(),
			Zone:        p.Zone,
			Slots:       p.Slots,
			Connections: p.Connections,
		},
		InUse: p.InUse,
	}
	request := &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: renewal}}
	if _, err := requestLeader(ctx, s.control, request, endpointProblem); err != nil {
		return nil, err
	}
	return &endpoints.AnnounceResult{Lease: int64(coordinator.EndpointLease)}, nil
}

// Leave implements endpoints.Service.
func (s *endpointService) Leave(ctx context.Context, p *endpoints.LeavePayload) error {
	gone := &controlpb.EndpointGone{Name: p.Endpoint, Incarnation: p.Incarnation}
	command := &controlpb.Command{Kind: &controlpb.Command_EndpointGone{EndpointGone: gone}}
	_, err := proposeCommand(ctx, s.control, command, endpointProblem)
	return err
}
