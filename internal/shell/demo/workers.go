package demo

import (
	"context"
	"sync"
	"time"

	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/balancer"
	"galenamoor/internal/standin/worker"
	"galenamoor/pkg/inventory"
)

const (
	callRate = 400                   // calls per second
	callTime = 15 * time.Millisecond // mean duration of a call at an executor
	// timeScale divides the run times of batch tasks: 20 minutes of declared run time take 6 s.
	timeScale = 200
)

// simulatedWorkers runs the simulated workers.
type simulatedWorkers struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startWorkers(ctx context.Context, inv *inventory.Inventory, daemons *balancer.Balancer, observations *audit.Audit, callTime time.Duration, seed uint64) *simulatedWorkers {
	ctx, cancel := context.WithCancel(ctx)
	s := &simulatedWorkers{cancel: cancel}
	service := inv.Services[0]
	for i, inventoryWorker := range inv.Workers {
		w := worker.New(worker.Config{
			Worker:      inventoryWorker,
			Slots:       int32(service.Slots),
			Connections: int32(service.Connections),
			CallTime:    callTime,
			TimeScale:   timeScale,
			Seed:        seed + uint64(i),
			Balancer:    daemons,
			Audit:       observations,
		}, uint64(time.Now().UnixNano()))
		s.running.Go(func() { w.Run(ctx) })
	}
	return s
}

func (s *simulatedWorkers) stop() {
	s.cancel()
	s.running.Wait()
}
