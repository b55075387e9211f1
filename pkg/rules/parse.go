package rules

import (
	"time"

	"galenamoor/internal/inifile"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/resource"
)

// Defaults of rules that the text leaves out, and the maxima of values.
const (
	defaultPriority = 100
	maxPriority     = 1000
	defaultBound    = 250 * time.Millisecond
	maxBound        = time.Minute
	defaultShare    = 99_000 // per 100,000
	defaultQueue    = 256
	maxQueue        = 65_536
)

// Parse reads the text form and checks it against the inventory that the rules refer to. The error lists every problem.
func Parse(text string, inv *inventory.Inventory) (*Rules, error) {
	document, err := inifile.Parse("rules", text)
	if err != nil {
		return nil, err
	}
	p := &parser{document: document, inventory: inv, rules: &Rules{}}
	inifile.Required(document.Single("Rules", true), "Format", inifile.Int(1, Format))
	p.readTeams()
	p.readServices()
	p.readKinds()
	document.RejectUnknown("Rules", "Team", "Service", "Kind")
	p.checkTeams()
	if err := document.Err(); err != nil {
		return nil, err
	}
	return p.rules, nil
}

type parser struct {
	document  *inifile.Document
	inventory *inventory.Inventory
	rules     *Rules
}

func (p *parser) readTeams() {
	for _, s := range p.document.Sections("Team") {
		p.rules.Teams = append(p.rules.Teams, Team{
			Name: s.RequireName(),
			Quota: resource.Vector{
				Processors:   inifile.Required(s, "Processors", resource.ParseProcessors),
				Memory:       inifile.Required(s, "Memory", resource.ParseMemory),
				Accelerators: int64(inifile.Optional(s, "Accelerators", 0, inifile.Int(0, 1<<20))),
			},
			Borrow: inifile.Optional(s, "Borrow", true, inifile.Bool),
		})
	}
}

func (p *parser) readServices() {
	for _, s := range p.document.Sections("Service") {
		service := Service{
			Name:     s.RequireName(),
			Priority: inifile.Optional(s, "Priority", defaultPriority, inifile.Int(0, maxPriority)),
			Bound:    inifile.Optional(s, "Bound", defaultBound, inifile.Duration(time.Millisecond, maxBound)),
			Share:    inifile.Optional(s, "Share", defaultShare, inifile.Share),
			Queue:    inifile.Optional(s, "Queue", defaultQueue, inifile.Int(0, maxQueue)),
			Zones:    p.readZoneList(s),
		}
		if p.inventory.Service(service.Name) == nil {
			p.document.AddProblem("[Service %s]: expected a service that the inventory lists", service.Name)
		}
		p.rules.Services = append(p.rules.Services, service)
	}
}

func (p *parser) readKinds() {
	for _, s := range p.document.Sections("Kind") {
		p.rules.Kinds = append(p.rules.Kinds, Kind{
			Name:     s.RequireName(),
			Priority: inifile.Optional(s, "Priority", defaultPriority, inifile.Int(0, maxPriority)),
			Share:    inifile.Optional(s, "Share", defaultShare, inifile.Share),
			Zones:    p.readZoneList(s),
		})
	}
}

// checkTeams records an error for each service and job whose team has no quota. Rules without any team set no quotas and are
// not checked.
func (p *parser) checkTeams() {
	if len(p.rules.Teams) == 0 {
		return
	}
	for _, service := range p.inventory.Services {
		p.checkTeam("Service", service.Name, service.Team)
	}
	for _, job := range p.inventory.Jobs {
		p.checkTeam("Job", job.Name, job.Team)
	}
}

func (p *parser) checkTeam(kind, name, team string) {
	if p.rules.Team(team) == nil {
		p.document.AddProblem("team %s of the inventory's [%s %s] has no [Team %s]", team, kind, name, team)
	}
}

func (p *parser) readZoneList(s *inifile.Section) []string {
	zones := inifile.Optional(s, "Zones", nil, inifile.Names)
	for _, zone := range zones {
		if !p.inventory.HasZone(zone) {
			s.AddProblem("Zones", "%q: expected a zone that the inventory lists", zone)
		}
	}
	return zones
}
