package capacity

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/standin/eventqueue"
)

// Usage holds the mean resource usage of a daemon of one role.
type Usage struct {
	Cores                        float64 // processor cores, without sockets and HTTP
	SentBytes, SentCount         float64 // per second, on sockets
	ReceivedBytes, ReceivedCount float64 // per second, on sockets
}

// Measure runs the simulation for the given time and returns the usage by role.
func (sim *Simulation) Measure(span time.Duration) (map[string]Usage, error) {
	sim.Meter.Reset()
	for _, d := range sim.daemons {
		d.cpuTime = 0
	}
	sim.Run(span)
	usage := map[string]Usage{}
	daemonCount := map[string]float64{}
	for _, d := range sim.daemons {
		daemonCount[sim.role(d)]++
		u := usage[sim.role(d)]
		u.Cores += d.cpuTime.Seconds()
		usage[sim.role(d)] = u
	}
	for flow, count := range sim.Meter.Flows {
		from, to := usage[flow.From], usage[flow.To]
		from.SentBytes += float64(count.SocketBytes)
		from.SentCount += float64(count.Messages)
		usage[flow.From] = from
		if flow.To == flow.From {
			to = from
		}
		to.ReceivedBytes += float64(count.SocketBytes)
		to.ReceivedCount += float64(count.Messages)
		usage[flow.To] = to
	}
	for role, u := range usage {
		divisor := span.Seconds() * max(1, daemonCount[role])
		usage[role] = Usage{u.Cores / divisor, u.SentBytes / divisor, u.SentCount / divisor, u.ReceivedBytes / divisor, u.ReceivedCount / divisor}
	}
	return usage, sim.err
}

// Running returns the number of tasks that run on the workers.
func (sim *Simulation) Running() int {
	running := 0
	for _, w := range sim.workers {
		running += len(w.tasks)
	}
	return running
}

// Release drops all events and workers, and one daemon of the role, so that the difference in heap size shows the daemon's
// memory. It returns false if no daemon has the role. The simulation can't run afterwards.
func (sim *Simulation) Release(role string) bool {
	sim.events, sim.workers = eventqueue.Queue{}, nil // events, workers and the callbacks of polls refer to daemons
	for _, d := range sim.daemons {
		d.callbacks = nil
	}
	for i, d := range sim.daemons {
		if sim.role(d) == role {
			sim.daemons = append(sim.daemons[:i:i], sim.daemons[i+1:]...)
			return true
		}
	}
	return false
}

// Configuration returns the command that applies the region's configuration.
func (s Size) Configuration() *controlpb.Command {
	return &controlpb.Command{Time: incarnation, Kind: &controlpb.Command_ApplyConfiguration{
		ApplyConfiguration: &controlpb.ApplyConfiguration{RequestKey: "1800000000-00000001", Inventory: s.Inventory(), Rules: rulesText()},
	}}
}
