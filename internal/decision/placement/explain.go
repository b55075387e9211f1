package placement

import "galenamoor/pkg/resource"

// Constraint is the first reason for which a task can't be placed in a zone.
type Constraint string

// Constraints, in the order in which they are checked.
const (
	ZoneNotPermitted Constraint = "ZoneNotPermitted"
	ZoneOut          Constraint = "ZoneOut"
	NoWorkers        Constraint = "NoWorkers"
	Quarantined      Constraint = "Quarantined"  // every worker is blocked
	Processors       Constraint = "Processors"   // no worker has enough free processors
	Memory           Constraint = "Memory"       // no worker with enough processors has enough free memory
	Accelerators     Constraint = "Accelerators" // no worker with enough of both has enough free accelerators
	Reserved         Constraint = "Reserved"     // the remaining workers are reserved for urgent work
	Avoided          Constraint = "Avoided"      // the request avoids every worker that would fit, after failures or rejected starts there
	Refilling        Constraint = "Refilling"    // the zone has returned to service and new placements are rate-limited
	Unconstrained    Constraint = "None"
)

// ZoneConstraint is the binding constraint of one zone. Largest holds the largest free amount of each resource on any of the
// zone's unblocked workers.
type ZoneConstraint struct {
	Zone       string
	Constraint Constraint
	Largest    resource.Vector
}

// Explain returns the first binding constraint of each zone, in the order in which the zones were added.
func (p *Planner) Explain(r *Request) []ZoneConstraint {
	reasons := make([]ZoneConstraint, len(p.zones))
	for z := range p.zones {
		reasons[z] = p.explainZone(int32(z), r)
	}
	return reasons
}

func (p *Planner) explainZone(z int32, r *Request) ZoneConstraint {
	zone := &p.zones[z]
	reason := ZoneConstraint{Zone: zone.name}
	// Each counts the workers that pass its check and all checks before it.
	var present, unblocked, processors, memory, accelerators, unreserved, fitting int
	for i := range p.workers {
		w := &p.workers[i]
		if w.zone != z || !w.present {
			continue
		}
		present++
		if w.blocked {
			continue
		}
		unblocked++
		free := p.Free(ID(i))
		reason.Largest = resource.Vector{
			Processors:   max(reason.Largest.Processors, free.Processors),
			Memory:       max(reason.Largest.Memory, free.Memory),
			Accelerators: max(reason.Largest.Accelerators, free.Accelerators),
		}
		if free.Processors < r.Size.Processors {
			continue
		}
		processors++
		if free.Memory < r.Size.Memory {
			continue
		}
		memory++
		if free.Accelerators < r.Size.Accelerators {
			continue
		}
		accelerators++
		if w.reserved && !r.Reserve {
			continue
		}
		unreserved++
		if p.fits(ID(i), r) {
			fitting++
		}
	}
	switch {
	case !r.Zones.permits(z):
		reason.Constraint = ZoneNotPermitted
	case zone.out:
		reason.Constraint = ZoneOut
	case present == 0:
		reason.Constraint = NoWorkers
	case unblocked == 0:
		reason.Constraint = Quarantined
	case processors == 0:
		reason.Constraint = Processors
	case memory == 0:
		reason.Constraint = Memory
	case accelerators == 0:
		reason.Constraint = Accelerators
	case unreserved == 0:
		reason.Constraint = Reserved
	case fitting == 0:
		reason.Constraint = Avoided
	case zone.limited && !r.Size.Fits(zone.budget):
		reason.Constraint = Refilling
	default:
		reason.Constraint = Unconstrained
	}
	return reason
}
