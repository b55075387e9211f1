// Package inventory reads and writes the inventory: availability zones, hosts, workers, and the services and jobs that
// belong to them. Its text form is INI with Pascal-case keys.
package inventory

import (
	"net/netip"
	"time"

	"galenamoor/pkg/resource"
)

// Format is the newest version of the text form that this package reads.
const Format = 1

// Inventory lists the zones, hosts, workers, services and jobs of one region.
type Inventory struct {
	Region   string
	Zones    []string // availability zones, in the order of the text form
	Hosts    []Host
	Workers  []Worker
	Services []Service
	Jobs     []Job
}

// Host is a machine that runs a daemon, called an entry host in the documentation.
type Host struct {
	Name       string
	Zone       string
	Address    netip.AddrPort // address of the RPCs between daemons
	Controller bool           // its daemon stores the control log on disk and votes
}

// Worker is a machine that runs tasks.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Capacity resource.Vector
}

// Service is a latency-critical service with a fixed number of executors, each of which is a task.
type Service struct {
	Name        string
	Team        string
	Executors   int
	Request     resource.Vector // of one executor
	Slots       int             // calls that one executor runs concurrently
	Connections int             // connections that one executor accepts
	Zones       []string        // permitted zones; empty for all
}

// Job is a batch job of identical tasks.
type Job struct {
	Name        string
	Team        string
	Kind        string // tasks of one kind share learned run times; empty for the job's name
	Tasks       int
	Request     resource.Vector // of one task
	RunTime     time.Duration   // declared run time of one task
	Deadline    time.Duration   // after submission; 0 for none
	Urgent      bool
	Checkpoints bool     // tasks write checkpoints from which they can resume
	Zones       []string // permitted zones; empty for all
}
