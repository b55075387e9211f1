package slotshare

// HeldSlots returns the number of slots that an incarnation of a gateway may still be using at an incarnation of an endpoint.
// The second result reports whether the Allocator knows the endpoint.
func (a *Allocator) HeldSlots(endpoint string, incarnation uint64, gateway string, gatewayIncarnation uint64) (int, bool) {
	e := a.endpoints[endpoint]
	if e == nil || e.incarnation != incarnation {
		return 0, false
	}
	if h := e.holds[gatewayKey{gateway, gatewayIncarnation}]; h != nil {
		return h.held, true
	}
	return 0, true
}
