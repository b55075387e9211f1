// Package loopback allocates addresses of the loopback network to daemons that run on one machine.
package loopback

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// firstPort is below the range of ephemeral ports. A port of that range could be assigned to an outgoing connection after the
// check that it is free and before the daemon listens on it.
const firstPort = 7001

// maxAttempts bounds the search for a free address.
const maxAttempts = 100

// Host is an IP address of the loopback network that is used by one daemon. It isn't safe for concurrent use.
type Host struct {
	address        netip.Addr
	allocatedPorts uint16 // number of ports returned
}

// New returns a Host with a random address on which the first three ports are free.
func New() (*Host, error) {
	for range maxAttempts {
		h := &Host{address: netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})}
		if h.isFree(firstPort) && h.isFree(firstPort+1) && h.isFree(firstPort+2) {
			return h, nil
		}
	}
	return nil, trace.LimitExceeded("no free loopback address in %d attempts", maxAttempts)
}

func (h *Host) isFree(port uint16) bool {
	socket, err := net.Listen("tcp", netip.AddrPortFrom(h.address, port).String())
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

// Next returns the host's address with its next port. Only the first three ports were checked to be free.
func (h *Host) Next() netip.AddrPort {
	h.allocatedPorts++
	return netip.AddrPortFrom(h.address, firstPort+h.allocatedPorts-1)
}
