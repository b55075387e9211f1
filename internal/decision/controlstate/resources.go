package controlstate

import (
	"galenamoor/internal/controlpb"
	"galenamoor/pkg/resource"
)

// resources converts a vector; a zero vector becomes nil, so that snapshots omit it.
func resources(v resource.Vector) *controlpb.Resources {
	if v.IsZero() {
		return nil
	}
	return controlpb.NewResources(v)
}

// componentMin returns the minimum of each component.
func componentMin(v, w resource.Vector) resource.Vector {
	return resource.Vector{
		Processors:   min(v.Processors, w.Processors),
		Memory:       min(v.Memory, w.Memory),
		Accelerators: min(v.Accelerators, w.Accelerators),
	}
}
