// Package kernel manages the services of a daemon: they are registered and looked up by name, and they run and stop as a
// group.
package kernel

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
)

// Kernel is a registry of services and the group of functions that run them. Registering and finding services is safe for
// concurrent use.
type Kernel struct {
	mu       sync.RWMutex
	services map[string]any
	group    run.Group
}

// New returns a Kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]any{}}
}

// Register adds a service under a name. It fails with AlreadyExists if the name is in use.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return trace.AlreadyExists("service %s is already registered", name)
	}
	k.services[name] = service
	return nil
}

// Find returns the service registered under a name. It fails with NotFound if there is none, and with BadParameter if the
// service doesn't have type T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var zero T
	service, ok := k.services[name]
	if !ok {
		return zero, trace.NotFound("no service %s is registered", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, trace.BadParameter("service %s is a %T", name, service)
	}
	return typed, nil
}

// Go adds a function to the group, before Run is called. The function must return soon after its context ends. When any
// function of the group returns, the contexts of all others are canceled.
func (k *Kernel) Go(name string, function func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	k.group.Add(func() error {
		return trace.Wrap(function(ctx), "%s", name)
	}, func(error) {
		cancel()
	})
}

// Run runs the group until the context ends or a function returns, then waits for all functions to return. It returns the
// error of the first function that returned.
func (k *Kernel) Run(ctx context.Context) error {
	k.Go("stop", func(group context.Context) error {
		select {
		case <-ctx.Done():
		case <-group.Done():
		}
		return nil
	})
	return k.group.Run()
}
