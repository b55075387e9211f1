package scheduler

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/placement"
	"galenamoor/pkg/resource"
)

const (
	// The measured use of a job is trusted from minJobReports reports on, that of a kind from minKindJobs jobs on. Reports
	// of one job resemble each other, so they say little about other jobs.
	minJobReports = 8
	minKindJobs   = 6
	// maxReportsPerJob limits the weight of one long job in the measured use of its kind.
	maxReportsPerJob = 16
	// These quantiles of the measured use of a kind are charged, plus a margin. Tasks can share processors for a while, but
	// not memory.
	processorQuantile = 90
	memoryQuantile    = 99
	// processorMargin and memoryMargin are added to measured use, in percent. A task with too few processors only runs
	// slower; one with too little memory is killed, so the memory margin is larger.
	processorMargin = 10
	memoryMargin    = 25
	// warmUp is the run time after which the measured use of a task counts as typical.
	warmUp = 15 * time.Second
	// typicalQuantile of the measured use of a kind is planned for a task whose declared size is too small.
	typicalQuantile = 50
	ratioUnit       = 1000 // histogram value of the ratio 1
	maxRatio        = 64 * ratioUnit
	maxUse          = 1 << 24 // millicores or MiB
	maxLearnedKinds = 1024    // kinds whose use is recorded
	peakDecay       = 15      // each report multiplies an older peak by peakDecay/(peakDecay+1)
)

// jobUse is the peak measured use over all tasks of one job.
type jobUse struct {
	reports int
	peak    resource.Vector
}

// useHistograms record the measured use of one resource by one kind, absolute and as a ratio to the declared size in
// 1/ratioUnit.
type useHistograms struct {
	absolute, ratio *hdrhistogram.Histogram
}

// kindUse is the measured use of one kind of batch task.
type kindUse struct {
	jobs               int
	processors, memory useHistograms
}

// sizeEstimator estimates the resource use of batch tasks from reports, so that the unused part of overstated sizes can be
// used and understated sizes are allowed for. The charge is the size that the state machine counts: a high quantile of
// measured use plus a margin, and at most the declared size. The planned size is the size that the planner counts: at least
// the charge and at least the expected use.
type sizeEstimator struct {
	learning bool
	kinds    map[int32]*kindUse
}

func newSizeEstimator(learning bool) *sizeEstimator {
	return &sizeEstimator{learning: learning, kinds: map[int32]*kindUse{}}
}

func newUseHistograms() useHistograms {
	return useHistograms{hdrhistogram.New(1, maxUse, 2), hdrhistogram.New(1, maxRatio, 2)}
}

// observe records one report of used resources.
func (u useHistograms) observe(used, declared int64) {
	// Values are clamped to the range of the histograms, so that recording cannot fail.
	_ = u.absolute.RecordValue(min(max(used, 1), maxUse))
	_ = u.ratio.RecordValue(min(max(used*ratioUnit/max(declared, 1), 1), maxRatio))
}

// quantile returns a quantile of use from the histogram with the smaller spread.
func (u useHistograms) quantile(percent float64, declared int64) int64 {
	if spread(u.ratio) < spread(u.absolute) {
		return u.ratio.ValueAtQuantile(percent) * declared / ratioUnit
	}
	return u.absolute.ValueAtQuantile(percent)
}

// spread returns the ratio of a high quantile of a histogram to its typical value.
func spread(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(memoryQuantile)) / float64(max(h.ValueAtQuantile(typicalQuantile), 1))
}

// observe records one report of a batch task that ran unthrottled and without contention for processors.
func (z *sizeEstimator) observe(j *job, used resource.Vector) {
	j.use.reports++
	j.use.peak = elementwiseMax(j.use.peak, used)
	k, ok := z.kinds[j.kind]
	if !ok {
		if len(z.kinds) >= maxLearnedKinds {
			return
		}
		k = &kindUse{processors: newUseHistograms(), memory: newUseHistograms()}
		z.kinds[j.kind] = k
	}
	if j.use.reports == 1 {
		k.jobs++
	}
	if j.use.reports > maxReportsPerJob {
		return
	}
	k.processors.observe(used.Processors, j.request.Processors)
	k.memory.observe(used.Memory, j.request.Memory)
}

// charge returns the size to charge for a new task of a job; at most the declared size.
func (z *sizeEstimator) charge(j *job) resource.Vector {
	if !z.learning || j.service {
		return j.request
	}
	var use resource.Vector
	if j.use.reports >= minJobReports {
		use = j.use.peak
	} else if k, ok := z.kinds[j.kind]; ok && k.jobs >= minKindJobs {
		use.Processors = k.processors.quantile(processorQuantile, j.request.Processors)
		use.Memory = k.memory.quantile(memoryQuantile, j.request.Memory)
		use = elementwiseMax(use, j.use.peak)
	} else {
		return j.request
	}
	return resource.Vector{
		Processors:   min(j.request.Processors, use.Processors*(100+processorMargin)/100),
		Memory:       min(j.request.Memory, use.Memory*(100+memoryMargin)/100),
		Accelerators: j.request.Accelerators,
	}
}

// planned returns the planned size of a task with the given charge: larger than the charge when the declared size is too
// small. Urgent tasks are placed by their declared size; measured use beyond it is planned once they run.
func (z *sizeEstimator) planned(j *job, charge resource.Vector) resource.Vector {
	if !z.learning || j.service || j.urgent {
		return charge
	}
	if j.use.reports >= minJobReports {
		return elementwiseMax(charge, j.use.peak)
	}
	if k, ok := z.kinds[j.kind]; ok && k.jobs >= minKindJobs {
		charge.Processors = max(charge.Processors, min(k.processors.quantile(typicalQuantile, j.request.Processors), k.processors.absolute.Max()))
	}
	return charge
}

func elementwiseMax(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Usage records the resource use, latency and progress that a worker measured for its tasks. The Age of a report, in
// nanoseconds, is the time since the end of the measured interval.
func (s *Scheduler) Usage(now time.Time, workerName string, usage []*controlpb.Usage) {
	s.advance(now)
	w := s.workers[workerName]
	if w == nil {
		return
	}
	var total int64
	for _, u := range usage {
		total += u.GetUsed().GetProcessors()
	}
	contended := w.id != placement.None && total*10 >= s.planner.Capacity(w.id).Processors*9
	for _, u := range usage {
		t := s.tasks[u.Task]
		if t == nil || t.worker != w || t.fence != u.Fence || t.pendingStart {
			continue
		}
		s.recordTaskUsage(t, u, contended)
	}
}

// recordTaskUsage records one report of a task. The size estimator ignores reports taken under contention, which do not show how
// much the task would use.
func (s *Scheduler) recordTaskUsage(t *task, u *controlpb.Usage, contended bool) {
	s.updateEffectiveTime(t)
	t.progress = max(t.progress, u.Progress)
	if !s.options.Learning {
		return
	}
	end := s.now.Add(-time.Duration(u.Age))
	if t.job.service {
		s.recordLatency(t, end, time.Duration(u.Latency))
	}
	used := u.Used.Vector()
	t.peakUse = elementwiseMax(used, resource.Vector{
		Processors: t.peakUse.Processors * peakDecay / (peakDecay + 1), Memory: t.peakUse.Memory * peakDecay / (peakDecay + 1),
	})
	if !t.job.service && !contended && t.throttle == 100 && end.Sub(t.since) > warmUp && t.state == controlpb.TaskState_RUNNING {
		s.sizes.observe(t.job, used)
	}
	s.resize(t)
}

// resize plans with the peak use of a task where it exceeds the charge. Changes of at most a sixteenth are skipped, since
// each change updates the index of the planner.
func (s *Scheduler) resize(t *task) {
	size := elementwiseMax(t.charge, t.peakUse)
	size.Accelerators = t.charge.Accelerators
	old := t.planned.Size
	negligible := func(a, b int64) bool { return max(a-b, b-a)*16 <= b }
	if t.worker.id == placement.None || negligible(size.Processors, old.Processors) && negligible(size.Memory, old.Memory) {
		return
	}
	s.planner.Resize(t.worker.id, old, size)
	t.planned.Size = size
	if t.stopping {
		t.worker.stopping = t.worker.stopping.Sub(old).Add(size)
	}
	if !size.Fits(old) {
		return
	}
	s.dirty = true
}
