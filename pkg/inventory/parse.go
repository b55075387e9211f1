package inventory

import (
	"time"

	"galenamoor/internal/inifile"
	"galenamoor/pkg/resource"
)

// Limits of the values that an inventory may declare.
const (
	maxExecutors   = 100_000
	maxTasks       = 100_000
	maxSlots       = 1024
	maxConnections = 65_535
	maxRunTime     = 30 * 24 * time.Hour
)

// Parse reads the text form. The error lists every problem with section, key, value and what was expected.
func Parse(text string) (*Inventory, error) {
	document, err := inifile.Parse("inventory", text)
	if err != nil {
		return nil, err
	}
	p := &parser{document: document, inventory: &Inventory{}, zones: map[string]bool{}}
	p.readHeader()
	p.readZones()
	p.readHosts()
	p.readWorkers()
	p.readServices()
	p.readJobs()
	document.RejectUnknown("Inventory", "Zone", "Host", "Worker", "Service", "Job")
	if err := document.Err(); err != nil {
		return nil, err
	}
	return p.inventory, nil
}

type parser struct {
	document  *inifile.Document
	inventory *Inventory
	zones     map[string]bool
}

func (p *parser) readHeader() {
	header := p.document.Single("Inventory", true)
	inifile.Required(header, "Format", inifile.Int(1, Format))
	p.inventory.Region = inifile.Required(header, "Region", inifile.Name)
}

func (p *parser) readZones() {
	for _, s := range p.document.Sections("Zone") {
		name := s.RequireName()
		p.zones[name] = true
		p.inventory.Zones = append(p.inventory.Zones, name)
	}
	if len(p.inventory.Zones) == 0 {
		p.document.AddProblem("expected at least one [Zone NAME]")
	}
}

func (p *parser) readHosts() {
	for _, s := range p.document.Sections("Host") {
		p.inventory.Hosts = append(p.inventory.Hosts, Host{
			Name:       s.RequireName(),
			Zone:       p.readZone(s),
			Address:    inifile.Required(s, "Address", inifile.AddrPort),
			Controller: inifile.Optional(s, "Controller", false, inifile.Bool),
		})
	}
}

func (p *parser) readWorkers() {
	for _, s := range p.document.Sections("Worker") {
		p.inventory.Workers = append(p.inventory.Workers, Worker{
			Name:     s.RequireName(),
			Zone:     p.readZone(s),
			Rack:     inifile.Optional(s, "Rack", "", inifile.Name),
			Capacity: p.readVector(s),
		})
	}
}

func (p *parser) readServices() {
	for _, s := range p.document.Sections("Service") {
		p.inventory.Services = append(p.inventory.Services, Service{
			Name:        s.RequireName(),
			Team:        inifile.Required(s, "Team", inifile.Name),
			Executors:   inifile.Required(s, "Executors", inifile.Int(0, maxExecutors)),
			Request:     p.readVector(s),
			Slots:       inifile.Required(s, "Slots", inifile.Int(1, maxSlots)),
			Connections: inifile.Required(s, "Connections", inifile.Int(1, maxConnections)),
			Zones:       p.readZoneList(s),
		})
	}
}

func (p *parser) readJobs() {
	services := map[string]bool{}
	for _, service := range p.inventory.Services {
		services[service.Name] = true
	}
	for _, s := range p.document.Sections("Job") {
		job := Job{
			Name:        s.RequireName(),
			Team:        inifile.Required(s, "Team", inifile.Name),
			Kind:        inifile.Optional(s, "Kind", s.Name, inifile.Name),
			Tasks:       inifile.Optional(s, "Tasks", 1, inifile.Int(1, maxTasks)),
			Request:     p.readVector(s),
			RunTime:     inifile.Required(s, "RunTime", inifile.Duration(time.Millisecond, maxRunTime)),
			Deadline:    inifile.Optional(s, "Deadline", 0, inifile.Duration(0, maxRunTime)),
			Urgent:      inifile.Optional(s, "Urgent", false, inifile.Bool),
			Checkpoints: inifile.Optional(s, "Checkpoints", false, inifile.Bool),
			Zones:       p.readZoneList(s),
		}
		if services[job.Name] {
			p.document.AddProblem("[Job %s]: a service has the same name", job.Name)
		}
		p.inventory.Jobs = append(p.inventory.Jobs, job)
	}
}

func (p *parser) readZone(s *inifile.Section) string {
	zone := inifile.Required(s, "Zone", inifile.Name)
	p.checkZone(s, "Zone", zone)
	return zone
}

func (p *parser) readZoneList(s *inifile.Section) []string {
	zones := inifile.Optional(s, "Zones", nil, inifile.Names)
	for _, zone := range zones {
		p.checkZone(s, "Zones", zone)
	}
	return zones
}

func (p *parser) checkZone(s *inifile.Section, key, zone string) {
	if zone != "" && !p.zones[zone] {
		s.AddProblem(key, "%q: expected a zone that the inventory lists", zone)
	}
}

func (p *parser) readVector(s *inifile.Section) resource.Vector {
	return resource.Vector{
		Processors:   inifile.Required(s, "Processors", resource.ParseProcessors),
		Memory:       inifile.Required(s, "Memory", resource.ParseMemory),
		Accelerators: int64(inifile.Optional(s, "Accelerators", 0, inifile.Int(0, 1<<20))),
	}
}
