package dispatch

import (
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/workload"
)

// Serving tasks reserve their processors for minutes, finite tasks with dedicated processors for a second. Where serving
// tasks take all processors, urgent finite jobs wait for gaps between them, which most of their tasks don't fit into. So
// hosts without serving tasks are kept for them while other hosts have room, and further serving jobs are rejected once
// they would take the processors that the finite jobs need.

const (
	// unlearnedHeadroom is the share of the processors that is kept for dedicated tasks before their need is learned.
	unlearnedHeadroom = 0.06

	// servingRetryDelay is the delay after which the caller of a rejected serving job should retry: the time in which
	// about a tenth of the serving jobs is usually cancelled.
	servingRetryDelay = 7 * time.Second
)

// observeArrival learns the processors that finite jobs need from a job that has been accepted.
func (d *Dispatcher) observeArrival(job *controlpb.WorkJob) {
	runtime := d.runtimes.meanRuntime(job.GetQueue()).Seconds()
	for _, step := range job.GetSteps() {
		if !step.GetPerpetual() && !step.GetFills() {
			d.headroom.Add(d.now, float64(step.GetCount())*float64(step.GetProcessors())/1000*runtime*float64(max(1, job.GetRepeats())))
		}
	}
}

// areEmptyHostsScarce reports whether the hosts without serving tasks have no more processors than dedicated tasks need.
func (d *Dispatcher) areEmptyHostsScarce(hosts []host) bool {
	total, empty := int64(0), int64(0)
	for i := range hosts {
		total += hosts[i].Processors
		if hosts[i].ServingTasks == 0 {
			empty += hosts[i].Processors
		}
	}
	return empty <= d.neededHeadroom(total)
}

// headroomFor returns the milli-cores that would be available to dedicated tasks if a job's serving tasks ran, and those that
// dedicated tasks need. Both are 0 if the job has no serving tasks, or if it isn't known yet that there are dedicated tasks.
func (d *Dispatcher) headroomFor(job *controlpb.WorkJob) (available, needed int64) {
	wanted := int64(0)
	for _, step := range job.GetSteps() {
		if (&workload.Step{WorkStep: step}).IsServing() {
			wanted += int64(step.GetCount()) * step.GetProcessors()
		}
	}
	if wanted == 0 {
		return 0, 0
	}
	total, serving := d.stayingProcessors()
	if _, learned := d.headroom.Processors(d.now); !learned && (total == 0 || !d.headroom.HasArrivals()) {
		return 0, 0
	}
	available = total - serving - wanted
	wall, waits := d.config.Wall(), servingWaits{d, map[string]int64{}}
	for _, other := range d.state.Jobs() {
		if !other.HasServing() || other.IsTerminal() {
			continue
		}
		for _, step := range other.WaitingSteps(wall, 0) {
			if kindOf(step) == colocation.Serving {
				available -= waits.of(step)
			}
		}
	}
	return available, d.neededHeadroom(total)
}

// hasHeadroom reports whether the processors that serving tasks leave are those that dedicated tasks need.
func (d *Dispatcher) hasHeadroom() bool {
	total, serving := d.stayingProcessors()
	return total-serving >= d.neededHeadroom(total)
}

// neededHeadroom returns the milli-cores that dedicated tasks need on hosts of so many milli-cores.
func (d *Dispatcher) neededHeadroom(total int64) int64 {
	if needed, ok := d.headroom.Processors(d.now); ok {
		return needed
	}
	return int64(unlearnedHeadroom * float64(total))
}

// stayingProcessors returns the milli-cores of the workers that stay, and those that serving tasks reserve there or will need there
// once the other workers have left and unresponsive ones are declared lost. Unless most workers answer, the cause may lie with this
// leader, and all count as staying.
func (d *Dispatcher) stayingProcessors() (total, serving int64) {
	workers, unresponsive, lost := 0, 0, int64(0)
	for _, w := range d.orderedWorkers {
		serving += w.servingProcessors
		if !d.isStaying(w) {
			continue
		}
		workers++
		total += w.incarnation.GetProcessors()
		if d.silenceOf(w) > unresponsiveAfter || w.leaseWithheld && w.lastAnswer.IsZero() {
			unresponsive++
			lost += w.incarnation.GetProcessors()
		}
	}
	if 2*unresponsive < workers {
		total -= lost
	}
	return total, serving
}
