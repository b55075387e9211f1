package main

import (
	"net/netip"

	"galenamoor/internal/inifile"
	"galenamoor/pkg/inventory"
)

// Ports of every daemon in the examples.
const (
	callPort    = 7001
	controlPort = 7002
)

// settingsText returns the settings of the daemon on a host, with all hosts as its peers.
func settingsText(host inventory.Host, hosts []inventory.Host, dataFolder string) string {
	address := host.Address.Addr()
	w := &inifile.Writer{}
	w.Section("Daemon", "")
	w.Key("Host", host.Name)
	w.Key("Zone", host.Zone)
	if host.Controller {
		w.Key("DataFolder", dataFolder)
	}
	w.Section("Listen", "")
	w.Key("Calls", netip.AddrPortFrom(address, callPort))
	w.Key("Control", netip.AddrPortFrom(address, controlPort))
	w.Key("Peers", host.Address)
	for _, peer := range hosts {
		w.Section("Peer", peer.Name)
		w.Key("Address", peer.Address)
		if peer.Controller {
			w.Key("Controller", true)
		}
	}
	return w.String()
}
