// Package demo runs three daemons in one process on loopback with simulated workers, endpoints and callers. It takes a zone
// out of service and back, isolates the leader from the other daemons, stops a daemon, and reports which of the system's
// promises were kept.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"galenamoor/api/gen/operators"
	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/caller"
	"galenamoor/pkg/inventory"
	"galenamoor/pkg/operator"
	"galenamoor/pkg/rules"
)

// Options configure a demo.
type Options struct {
	Folder string      // contains inventory.ini and rules.ini
	Seed   uint64      // of the calls and their durations
	Out    io.Writer   // for the progress
	Log    logr.Logger // of the daemons
}

// Durations of the demo.
const (
	startTimeout   = 15 * time.Second // for daemons and executors to become ready
	steadyTime     = 3 * time.Second
	zoneOutTime    = 6 * time.Second // longer than the 3 s after which no task may start in a zone out of service
	isolationTime  = 4 * time.Second // longer than the 2.5 s after which an isolated daemon's state is stale
	recoveryTime   = 4 * time.Second
	pollInterval   = 100 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// Demo is a run of the demo.
type Demo struct {
	options   Options
	inventory *inventory.Inventory
	rulesText string
	cluster   *cluster
	workers   *simulatedWorkers
	operator  *operator.Client
	audit     *audit.Audit
	callTime  time.Duration // mean duration of a call at an executor
	callers   *caller.Caller
	begin     time.Time
}

// New returns a demo with the inventory and rules of the folder. The inventory needs a service and at least two zones.
func New(options Options) (*Demo, error) {
	text, err := os.ReadFile(filepath.Join(options.Folder, "inventory.ini"))
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "read inventory")
	}
	parsed, err := inventory.Parse(string(text))
	if err != nil {
		return nil, err
	}
	rulesText, err := os.ReadFile(filepath.Join(options.Folder, "rules.ini"))
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "read rules")
	}
	if _, err := rules.Parse(string(rulesText), parsed); err != nil {
		return nil, err
	}
	if len(parsed.Zones) < 2 || len(parsed.Services) == 0 {
		return nil, trace.BadParameter("%s: expected an inventory with a service and at least two zones", options.Folder)
	}
	return &Demo{options: options, inventory: parsed, rulesText: string(rulesText), audit: audit.New(), callTime: callTime}, nil
}

// Run runs the demo and returns its result. A broken promise is part of the result and not an error.
func (d *Demo) Run(ctx context.Context) (*Result, error) {
	d.begin = time.Now()
	folder, err := os.MkdirTemp("", "galenamoor-demo-")
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "make data folder")
	}
	defer os.RemoveAll(folder)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := d.start(ctx, folder); err != nil {
		return nil, err
	}
	defer d.cluster.stop()
	defer d.workers.stop()
	d.callers = caller.New(caller.Config{
		Service: d.inventory.Services[0].Name, Rate: callRate, Seed: d.options.Seed, Balancer: d.cluster.balancer, Audit: d.audit,
	})
	callsCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	callsDone := make(chan struct{})
	go func() {
		defer close(callsDone)
		d.callers.Run(callsCtx)
	}()
	if err := d.runScenario(ctx); err != nil {
		return nil, err
	}
	stopCalls()
	<-callsDone
	return &Result{
		Elapsed:  time.Since(d.begin),
		Calls:    d.callers.Results(),
		Totals:   d.audit.Totals(),
		Promises: d.audit.Report(),
	}, nil
}

// start starts the daemons, applies the configuration, starts the simulated workers and waits until calls can be answered.
func (d *Demo) start(ctx context.Context, folder string) error {
	started, err := startCluster(ctx, folder, d.inventory.Zones, d.options.Log)
	if err != nil {
		return err
	}
	d.cluster = started
	d.operator = operator.New(started.controlAddresses...)
	if err := d.waitFor(ctx, "daemons are ready", func() bool { return started.balancer.Ready() == clusterSize }); err != nil {
		return err
	}
	_, err = d.operator.Apply(ctx, &operators.ApplyPayload{
		RequestKey: "demo-apply", BaseVersion: 0, Inventory: d.inventory.Text(), Rules: d.rulesText, Operator: "demo",
	})
	if err != nil {
		return trace.Wrap(err, "apply inventory")
	}
	d.reportProgress("inventory applied: %d workers, %d executors of %s, %d batch jobs", len(d.inventory.Workers), d.countExecutors(), d.inventory.Services[0].Name, len(d.inventory.Jobs))
	d.workers = startWorkers(ctx, d.inventory, started.balancer, d.audit, d.callTime, d.options.Seed)
	err = d.waitFor(ctx, "all executors have announced themselves", func() bool { return d.countEndpoints(ctx) >= d.countExecutors() })
	if err != nil {
		return err
	}
	return d.waitFor(ctx, "daemons are ready for calls", func() bool { return started.balancer.Ready() == clusterSize })
}

// runScenario runs the sequence of changes and failures while calls are in progress.
func (d *Demo) runScenario(ctx context.Context) error {
	zone := d.inventory.Zones[1]
	d.callers.Phase("steady")
	d.sleep(ctx, steadyTime)
	d.callers.Phase("zone out")
	if err := d.setZone(ctx, zone, true); err != nil {
		return err
	}
	d.sleep(ctx, zoneOutTime)
	d.callers.Phase("zone back")
	if err := d.setZone(ctx, zone, false); err != nil {
		return err
	}
	d.sleep(ctx, steadyTime)
	leader := d.cluster.leader()
	d.reportProgress("daemon %s, the leader, is cut off from the others", d.cluster.names[leader])
	d.callers.Phase("leader cut off")
	d.cluster.daemons[leader].SetPartitioned(true)
	d.sleep(ctx, isolationTime)
	d.cluster.daemons[leader].SetPartitioned(false)
	d.reportProgress("daemon %s is connected again", d.cluster.names[leader])
	if err := d.waitFor(ctx, "daemons are ready", func() bool { return d.cluster.balancer.Ready() == clusterSize }); err != nil {
		return err
	}
	d.sleep(ctx, recoveryTime)
	currentLeader := d.cluster.leader()
	d.reportProgress("daemon %s is stopped while calls are in progress", d.cluster.names[currentLeader])
	d.callers.Phase("planned stop")
	d.cluster.stopDaemon(currentLeader)
	d.sleep(ctx, steadyTime)
	return ctx.Err()
}

// setZone takes a zone out of service or back. It records in the audit that a zone is out after the request has succeeded,
// and that it is back before the request is sent, so that a task that starts during the request doesn't count as a broken
// promise.
func (d *Demo) setZone(ctx context.Context, zone string, out bool) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	key := fmt.Sprintf("demo-%s-%t", zone, out)
	if !out {
		d.audit.ZoneChanged(zone, false, time.Now())
	}
	_, err := d.operator.Zone(ctx, &operators.ZonePayload{Zone: zone, RequestKey: key, Out: out, Operator: "demo"})
	if err != nil {
		return trace.Wrap(err, "change zone %s", zone)
	}
	if out {
		d.audit.ZoneChanged(zone, true, time.Now())
		d.reportProgress("zone %s is out of service", zone)
		return nil
	}
	d.reportProgress("zone %s is back in service", zone)
	return nil
}

func (d *Demo) countExecutors() int {
	n := 0
	for _, service := range d.inventory.Services {
		n += service.Executors
	}
	return n
}

func (d *Demo) countEndpoints(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, err := d.operator.Status(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, zone := range status.Zones {
		n += int(zone.Endpoints)
	}
	return n
}

// waitFor waits until a condition holds, then reports its description as progress. It fails after startTimeout.
func (d *Demo) waitFor(ctx context.Context, description string, condition func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return trace.LimitExceeded("not within %v: %s", startTimeout, description)
		}
		d.sleep(ctx, pollInterval)
	}
	d.reportProgress("%s", description)
	return nil
}

func (d *Demo) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (d *Demo) reportProgress(format string, arguments ...any) {
	fmt.Fprintf(d.options.Out, "%5.1fs  %s\n", time.Since(d.begin).Seconds(), fmt.Sprintf(format, arguments...))
}
