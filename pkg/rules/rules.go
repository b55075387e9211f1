// Package rules reads and writes the scheduling rules that operators set: team quotas, and the objectives and priorities
// of services and of kinds of batch jobs. The text form is INI with Pascal-case keys.
package rules

import (
	"time"

	"galenamoor/pkg/resource"
)

// Format is the newest version of the text form that this package reads.
const Format = 1

// Rules holds the scheduling rules for the teams, services and job kinds of an inventory.
type Rules struct {
	Teams    []Team
	Services []Service
	Kinds    []Kind
}

// Team holds the quota of one team.
type Team struct {
	Name   string
	Quota  resource.Vector
	Borrow bool // it may use the idle quota of other teams
}

// Service holds the rules for one service of the inventory.
type Service struct {
	Name     string
	Priority int           // services of higher priority are placed first
	Bound    time.Duration // latency within which a call counts as good
	Share    int           // objective: good calls per 100,000
	Queue    int           // calls that may wait in one gateway for a slot
	Zones    []string      // permitted zones; empty for all
}

// Kind holds the rules for one kind of batch job.
type Kind struct {
	Name     string
	Priority int
	Share    int      // objective: jobs finished before the deadline per 100,000
	Zones    []string // permitted zones; empty for all
}
