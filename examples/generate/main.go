// Command generate writes the example inventories, rules and settings: two deployments of production size, and three
// daemons for local use.
package main

import (
	"fmt"
	"log"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
	"galenamoor/pkg/rules"
)

//go:generate go run .

// deployment describes one example deployment.
type deployment struct {
	folder   string
	region   string
	zones    []string
	hosts    int
	voters   int // number of controllers, which are the first hosts
	workers  int
	perRack  int // workers per rack
	capacity resource.Vector
	service  inventory.Service
	bound    time.Duration // latency within which a call to the service counts as good
	jobs     []inventory.Job
}

const gib = int64(1024) // in MiB

var deployments = []deployment{
	{
		folder: "ridewell", region: "namib-west", zones: []string{"swakop", "walvis", "sesriem", "luderitz"},
		hosts: 8, voters: 5, workers: 50, perRack: 6,
		capacity: resource.Vector{Processors: 64_000, Memory: 250 * gib},
		service: inventory.Service{
			Name: "waiver", Team: "outfitters", Executors: 50,
			Request: resource.Vector{Processors: 8_000, Memory: 16 * gib}, Slots: 8, Connections: 64,
		},
		bound: 250 * time.Millisecond,
		jobs: []inventory.Job{
			{
				Name: "insurer-audit", Team: "insurers", Kind: "audit", Tasks: 40, RunTime: 20 * time.Minute,
				Request: resource.Vector{Processors: 4_000, Memory: 8 * gib}, Deadline: 8 * time.Hour, Checkpoints: true,
			},
			{
				Name: "waiver-archive", Team: "outfitters", Kind: "archive", Tasks: 60, RunTime: 30 * time.Minute,
				Request: resource.Vector{Processors: 2_000, Memory: 4 * gib}, Deadline: 10 * time.Hour, Checkpoints: true,
			},
		},
	},
	{
		folder: "tsagaan", region: "ulaanbaatar", zones: []string{"ub-east", "ub-west", "ub-north"},
		hosts: 7, voters: 5, workers: 70, perRack: 11,
		capacity: resource.Vector{Processors: 32_000, Memory: 125 * gib},
		service: inventory.Service{
			Name: "booking", Team: "garages", Executors: 70,
			Request: resource.Vector{Processors: 4_000, Memory: 8 * gib}, Slots: 8, Connections: 64,
		},
		bound: 300 * time.Millisecond,
		jobs: []inventory.Job{
			{
				Name: "franchise-reconciliation", Team: "franchise", Kind: "reconciliation", Tasks: 120, RunTime: 25 * time.Minute,
				Request: resource.Vector{Processors: 4_000, Memory: 8 * gib}, Deadline: 8 * time.Hour, Checkpoints: true,
			},
			{
				Name: "ventilation-logs", Team: "franchise", Kind: "ventilation", Tasks: 80, RunTime: 15 * time.Minute,
				Request: resource.Vector{Processors: 2_000, Memory: 4 * gib}, Deadline: 9 * time.Hour, Checkpoints: true,
			},
		},
	},
}

func main() {
	for _, d := range deployments {
		if err := d.write(filepath.Join("..", d.folder)); err != nil {
			log.Fatal(err)
		}
	}
	if err := writeLocal(filepath.Join("..", "local")); err != nil {
		log.Fatal(err)
	}
}

// writeLocal writes the settings of three controllers that run on one machine. They can be used with any inventory.
func writeLocal(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	d := deployment{zones: []string{"local"}, hosts: 3, voters: 3}
	hosts := d.inventory().Hosts
	for _, host := range hosts {
		text := settingsText(host, hosts, "/tmp/galenamoor-local/"+host.Name)
		if err := os.WriteFile(filepath.Join(folder, host.Name+".ini"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// write writes the inventory, the rules and the settings of every host to a folder.
func (d deployment) write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	inv := d.inventory()
	files := map[string]string{
		"inventory.ini": inv.Text(),
		"rules.ini":     d.rules().Text(),
	}
	for _, host := range inv.Hosts {
		files[host.Name+".ini"] = settingsText(host, inv.Hosts, "/var/lib/galenamoor")
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (d deployment) inventory() *inventory.Inventory {
	inv := &inventory.Inventory{Region: d.region, Zones: d.zones, Services: []inventory.Service{d.service}, Jobs: d.jobs}
	for i := range d.hosts {
		inv.Hosts = append(inv.Hosts, inventory.Host{
			Name:       fmt.Sprintf("entry-%d", i+1),
			Zone:       d.zones[i%len(d.zones)],
			Address:    peerAddress(i),
			Controller: i < d.voters,
		})
	}
	racks := (d.workers + max(d.perRack, 1) - 1) / max(d.perRack, 1)
	for i := range d.workers {
		rack := i / d.perRack
		inv.Workers = append(inv.Workers, inventory.Worker{
			Name:     fmt.Sprintf("worker-%03d", i+1),
			Zone:     d.zones[rack*len(d.zones)/racks],
			Rack:     fmt.Sprintf("rack-%02d", rack+1),
			Capacity: d.capacity,
		})
	}
	return inv
}

func (d deployment) rules() *rules.Rules {
	r := &rules.Rules{}
	total := resource.Vector{Processors: d.capacity.Processors * int64(d.workers), Memory: d.capacity.Memory * int64(d.workers)}
	teams := []string{d.service.Team}
	for _, job := range d.jobs {
		if job.Team != teams[len(teams)-1] && job.Team != teams[0] {
			teams = append(teams, job.Team)
		}
		r.Kinds = append(r.Kinds, rules.Kind{Name: job.Kind, Priority: 50, Share: 99_000})
	}
	for _, team := range teams {
		quota := resource.Vector{Processors: total.Processors / int64(len(teams)), Memory: total.Memory / int64(len(teams))}
		r.Teams = append(r.Teams, rules.Team{Name: team, Quota: quota, Borrow: true})
	}
	r.Services = []rules.Service{{Name: d.service.Name, Priority: 200, Bound: d.bound, Share: 99_000, Queue: 256}}
	return r
}

// peerAddress returns a separate loopback address for each host, so that an example can run on one machine.
func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7003)
}
