package controlpb

import "galenamoor/pkg/resource"

// NewResources returns v as a message.
func NewResources(v resource.Vector) *Resources {
	return &Resources{Processors: v.Processors, Memory: v.Memory, Accelerators: v.Accelerators}
}

// Vector returns r as a vector. A nil message gives the zero vector.
func (r *Resources) Vector() resource.Vector {
	return resource.Vector{Processors: r.GetProcessors(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators()}
}
