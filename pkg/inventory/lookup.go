package inventory

// HasZone reports whether the inventory lists the zone.
func (v *Inventory) HasZone(name string) bool {
	for _, zone := range v.Zones {
		if zone == name {
			return true
		}
	}
	return false
}

// Service returns the named service, or nil.
func (v *Inventory) Service(name string) *Service {
	for i := range v.Services {
		if v.Services[i].Name == name {
			return &v.Services[i]
		}
	}
	return nil
}
