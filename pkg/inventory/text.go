package inventory

import (
	"galenamoor/internal/inifile"
	"galenamoor/pkg/resource"
)

// Text returns the text form. Parse of the result gives an equal inventory.
func (v *Inventory) Text() string {
	w := &inifile.Writer{}
	w.Section("Inventory", "")
	w.Key("Format", Format)
	w.Key("Region", v.Region)
	for _, zone := range v.Zones {
		w.Section("Zone", zone)
	}
	for _, host := range v.Hosts {
		writeHost(w, host)
	}
	for _, worker := range v.Workers {
		writeWorker(w, worker)
	}
	for _, service := range v.Services {
		writeService(w, service)
	}
	for _, job := range v.Jobs {
		writeJob(w, job)
	}
	return w.String()
}

func writeHost(w *inifile.Writer, host Host) {
	w.Section("Host", host.Name)
	w.Key("Zone", host.Zone)
	w.Key("Address", host.Address)
	if host.Controller {
		w.Key("Controller", true)
	}
}

func writeWorker(w *inifile.Writer, worker Worker) {
	w.Section("Worker", worker.Name)
	w.Key("Zone", worker.Zone)
	if worker.Rack != "" {
		w.Key("Rack", worker.Rack)
	}
	writeVector(w, worker.Capacity)
}

func writeService(w *inifile.Writer, service Service) {
	w.Section("Service", service.Name)
	w.Key("Team", service.Team)
	w.Key("Executors", service.Executors)
	writeVector(w, service.Request)
	w.Key("Slots", service.Slots)
	w.Key("Connections", service.Connections)
	w.Names("Zones", service.Zones)
}

func writeJob(w *inifile.Writer, job Job) {
	w.Section("Job", job.Name)
	w.Key("Team", job.Team)
	w.Key("Kind", job.Kind)
	w.Key("Tasks", job.Tasks)
	writeVector(w, job.Request)
	w.Key("RunTime", job.RunTime)
	if job.Deadline > 0 {
		w.Key("Deadline", job.Deadline)
	}
	if job.Urgent {
		w.Key("Urgent", true)
	}
	if job.Checkpoints {
		w.Key("Checkpoints", true)
	}
	w.Names("Zones", job.Zones)
}

func writeVector(w *inifile.Writer, v resource.Vector) {
	w.Key("Processors", resource.FormatProcessors(v.Processors))
	w.Key("Memory", resource.FormatMemory(v.Memory))
	if v.Accelerators > 0 {
		w.Key("Accelerators", v.Accelerators)
	}
}
