package workload

import (
	"maps"
	"slices"

	"galenamoor/internal/controlpb"
)

// beginMaintenance records a maintenance wave. It is idempotent.
func (s *State) beginMaintenance(m *controlpb.Maintenance) *controlpb.Result {
	if s.maintenance[m.GetWave()] == nil {
		s.maintenance[m.GetWave()] = m
	}
	return &controlpb.Result{}
}

// recordMaintenanceOrdered records that the maintenance of a host is about to be ordered. It is idempotent.
func (s *State) recordMaintenanceOrdered(o *controlpb.MaintenanceOrdered) *controlpb.Result {
	m, host := s.maintenance[o.GetWave()], o.GetHost()
	if m != nil && !slices.Contains(m.GetBegun(), host) && !slices.Contains(m.GetOrdered(), host) {
		m.Ordered = append(m.Ordered, host)
	}
	return &controlpb.Result{}
}

// recordHostMaintained records that the maintenance of a host has begun. It is idempotent.
func (s *State) recordHostMaintained(h *controlpb.HostMaintained) *controlpb.Result {
	if m := s.maintenance[h.GetWave()]; m != nil && !slices.Contains(m.GetBegun(), h.GetHost()) {
		m.Begun = append(m.Begun, h.GetHost())
		m.Ordered = slices.DeleteFunc(m.Ordered, func(host string) bool { return host == h.GetHost() })
	}
	return &controlpb.Result{}
}

// Maintenance returns the maintenance wave of the given number, or nil.
func (s *State) Maintenance(wave uint64) *controlpb.Maintenance { return s.maintenance[wave] }

// ActiveMaintenance returns the waves in which the maintenance of some host hasn't begun, ordered by number.
func (s *State) ActiveMaintenance() []*controlpb.Maintenance {
	var active []*controlpb.Maintenance
	for _, wave := range slices.Sorted(maps.Keys(s.maintenance)) {
		if m := s.maintenance[wave]; !IsWaveComplete(m) {
			active = append(active, m)
		}
	}
	return active
}

// IsWaveComplete reports whether the maintenance of every host of a wave has begun.
func IsWaveComplete(m *controlpb.Maintenance) bool {
	return !slices.ContainsFunc(m.GetHosts(), func(host string) bool { return !slices.Contains(m.GetBegun(), host) })
}
