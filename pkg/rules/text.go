package rules

import (
	"galenamoor/internal/inifile"
	"galenamoor/pkg/resource"
)

// Text returns the text form. Parse of the result gives equal rules.
func (r *Rules) Text() string {
	w := &inifile.Writer{}
	w.Section("Rules", "")
	w.Key("Format", Format)
	for _, team := range r.Teams {
		writeTeam(w, team)
	}
	for _, service := range r.Services {
		w.Section("Service", service.Name)
		w.Key("Priority", service.Priority)
		w.Key("Bound", service.Bound)
		w.Key("Share", inifile.FormatShare(service.Share))
		w.Key("Queue", service.Queue)
		w.Names("Zones", service.Zones)
	}
	for _, kind := range r.Kinds {
		w.Section("Kind", kind.Name)
		w.Key("Priority", kind.Priority)
		w.Key("Share", inifile.FormatShare(kind.Share))
		w.Names("Zones", kind.Zones)
	}
	return w.String()
}

func writeTeam(w *inifile.Writer, team Team) {
	w.Section("Team", team.Name)
	w.Key("Processors", resource.FormatProcessors(team.Quota.Processors))
	w.Key("Memory", resource.FormatMemory(team.Quota.Memory))
	if team.Quota.Accelerators > 0 {
		w.Key("Accelerators", team.Quota.Accelerators)
	}
	w.Key("Borrow", team.Borrow)
}

// Team returns the team's rules, or nil.
func (r *Rules) Team(name string) *Team {
	for i := range r.Teams {
		if r.Teams[i].Name == name {
			return &r.Teams[i]
		}
	}
	return nil
}

// Service returns the rules of a service, or the defaults when it has none.
func (r *Rules) Service(name string) Service {
	for _, service := range r.Services {
		if service.Name == name {
			return service
		}
	}
	return Service{Name: name, Priority: defaultPriority, Bound: defaultBound, Share: defaultShare, Queue: defaultQueue}
}

// Kind returns the rules of a kind of batch job, or the defaults when it has none.
func (r *Rules) Kind(name string) Kind {
	for _, kind := range r.Kinds {
		if kind.Name == name {
			return kind
		}
	}
	return Kind{Name: name, Priority: defaultPriority, Share: defaultShare}
}
