package dispatch

import (
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// zoneOrders asks for the number of orders on a zone.
func (sim *simulation) zoneOrders(zone string) uint64 {
	sim.t.Helper()
	return sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReadZone{ReadZone: &controlpb.ReadZone{Zone: zone}}}).GetWork().GetZoneOrders()
}

// orderZone returns a request to set whether a zone is out of service, after so many orders on it.
func orderZone(zone string, out bool, after uint64) *controlpb.WorkRequest {
	return &controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: zone, Out: out, AfterOrders: &after}}}
}

// TestSupersededZoneOrder guards against an order on a zone that takes effect after a later one, also under another leader, from a snapshot, or while
// the later one is being committed: tasks started in a zone that operators had emptied again.
func TestSupersededZoneOrder(t *testing.T) {
	const zone = "zone-1"
	expect := func(sim *simulation, what string, work *controlpb.WorkRequest, code controlpb.ResultCode, out bool) {
		t.Helper()
		if got := sim.serve(work).GetResult().GetCode(); got != code || sim.state.IsZoneOut(zone) != out {
			t.Errorf("%s: %v, expected %v; the zone is out: %v", what, got, code, sim.state.IsZoneOut(zone))
		}
	}
	sim := newSimulationWithWorkers(t, 1, 4)
	first := sim.zoneOrders(zone)
	expect(sim, "out", orderZone(zone, true, first), controlpb.ResultCode_RESULT_OK, true)
	delayed := sim.zoneOrders(zone)
	expect(sim, "back", orderZone(zone, false, delayed), controlpb.ResultCode_RESULT_OK, false)
	expect(sim, "out again", orderZone(zone, true, sim.zoneOrders(zone)), controlpb.ResultCode_RESULT_OK, true)
	expect(sim, "delayed", orderZone(zone, false, delayed), controlpb.ResultCode_RESULT_REJECTED, true)

	last := sim.zoneOrders(zone)
	expect(sim, "repeated", orderZone(zone, true, last), controlpb.ResultCode_RESULT_OK, true)
	expect(sim, "overtaken by a repetition", orderZone(zone, false, last), controlpb.ResultCode_RESULT_REJECTED, true)

	sim.changeLeader()
	sim.run(time.Second)
	expect(sim, "delayed until another leader", orderZone(zone, false, delayed), controlpb.ResultCode_RESULT_REJECTED, true)
	sim.request(orderZone(zone, true, sim.zoneOrders(zone)))
	expect(sim, "while another is committed", orderZone(zone, false, sim.zoneOrders(zone)), controlpb.ResultCode_RESULT_UNAVAILABLE, true)
	sim.run(time.Second)

	restored := workload.New()
	if err := restored.Restore(sim.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got, expected := restored.ZoneOrders(zone), sim.state.ZoneOrders(zone); got != expected || got == 0 {
		t.Errorf("%d orders on the zone after a snapshot, expected %d", got, expected)
	}
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_SetZoneOut{SetZoneOut: &controlpb.SetZoneOut{Zone: zone}}})
	if sim.state.IsZoneOut(zone) {
		t.Error("an order of an earlier version isn't carried out")
	}
}
