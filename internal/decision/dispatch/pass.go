package dispatch

import (
	"cmp"
	"slices"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/colocation"
	"galenamoor/internal/decision/disturbance"
	"galenamoor/internal/decision/workload"
	"galenamoor/pkg/resource"
)

const (
	// servingLoad is the share of its processors that a serving task is taken to use. Measured: fills beside serving tasks
	// get all that they ask for up to about this, and starve from a share of 0.35 on. Tails of tasks that use more show it.
	servingLoad = 0.45

	// startsPerPass bounds the runs that one pass assigns, so that a pass stays short beside a heartbeat interval.
	startsPerPass = 300

	// choicesPerPass bounds the hosts that one pass rates, so that a pass stays short when thousands of tasks wait that no
	// host can take: rating one takes some 200 ns.
	choicesPerPass = 40_000
)

// Outlooks of a job, best first. Work that can still be in time goes before work that can only be late, and both before
// work whose time is over: without that, waves of work make everything late.
const (
	inTime = iota
	late
	hopeless
)

// lateFactor is the multiple of its objective up to which a job's work is still worth something.
const lateFactor = 3

// candidate is a step with tasks that may start.
type candidate struct {
	step    *workload.Step
	queue   *controlpb.WorkQueue
	outlook int
	due     time.Time // when the job should be finished, as far as is known
}

// pass chooses workers for tasks that wait. The most urgent steps choose first.
func (d *Dispatcher) pass() {
	hosts := d.hosts()
	candidates := d.candidates()
	d.report(candidates, hosts)
	budget := startsPerPass
	if !d.now.Before(d.nextCopies) {
		d.nextCopies = d.now.Add(copyInterval)
		d.copies(hosts)
		d.countTrials()
		d.findLeastUrgent()
	}
	preemptions, idle := preemptionsPerPass, isIdle(hosts)
	full := map[shape][]resource.Vector{}
	d.choices = choicesPerPass
	for _, c := range candidates {
		if budget <= 0 || d.choices <= 0 {
			return
		}
		wanted := need(c.step)
		if slices.ContainsFunc(full[shapeOf(c)], func(less resource.Vector) bool { return less.Fits(wanted) }) {
			if idle {
				budget -= d.placeGently(c, hosts)
			}
			continue // no host had room for less
		}
		if c.queue.GetAdvised() {
			d.consult(c, hosts)
		}
		if c.step.GetGang() {
			budget -= d.placeGang(c, hosts)
		} else {
			placed, missing := d.placeTasks(c, hosts)
			budget -= placed
			if missing > 0 && idle {
				budget -= d.placeGently(c, hosts)
			}
			if missing > 0 && c.step.GetMaxPerWorker() == 0 { // else its own tasks may be what keeps it from hosts with room
				full[shapeOf(c)] = append(full[shapeOf(c)], wanted)
			}
			if kindOf(c.step) != colocation.Fill {
				preemptions -= d.makeRoom(c, hosts, missing, preemptions)
			}
		}
	}
}

// shape is what decides which hosts may take a task, besides its needs.
type shape struct {
	pool, image, label string
	advised            *workload.Step // steps with advice have hosts of their own
	kind               colocation.Kind
	limit              uint32
}

func shapeOf(c candidate) shape {
	s := shape{
		pool: c.queue.GetPool(), image: c.step.GetImage(), label: c.step.GetRequiredLabel(), kind: kindOf(c.step),
		limit: c.step.GetMaxPerWorker(),
	}
	if c.queue.GetAdvised() {
		s.advised = c.step
	}
	return s
}

// need returns what a task of a step needs, with the processors that a fill uses.
func need(step *workload.Step) resource.Vector {
	return resource.Vector{Processors: step.GetProcessors(), Memory: step.GetMemory(), Accelerators: step.GetAccelerators()}
}

// candidates returns the steps with tasks that wait, most urgent first.
func (d *Dispatcher) candidates() []candidate {
	wall := d.config.Wall()
	var found []candidate
	for _, job := range d.state.Jobs() {
		if job.IsOver() {
			continue
		}
		queue := d.state.Queue(job.Spec.GetQueue())
		for _, steps := range job.Occurrences {
			for _, step := range steps {
				if step.Waiting > 0 && step.IsReady(wall) {
					found = append(found, d.candidate(wall, step, queue))
				}
			}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), cmp.Compare(a.outlook, b.outlook), a.due.Compare(b.due))
	})
	return found
}

// candidate rates a step by what is left of its job's time.
func (d *Dispatcher) candidate(wall time.Time, step *workload.Step, queue *controlpb.WorkQueue) candidate {
	job := step.Job
	start := job.DueAt(step.Occurrence)
	if start.IsZero() {
		start = time.UnixMilli(job.Spec.GetAcceptedMs())
	}
	typical := d.learned.typical(queue.GetName())
	steps := job.Occurrences[step.Occurrence]
	whole := time.Duration(chain(steps, func(*workload.Step) bool { return true })) * typical
	left := time.Duration(chain(steps, func(s *workload.Step) bool { return s.Undone > 0 })) * typical
	objective := time.Duration(float64(whole)*max(1, queue.GetStretch())) + time.Duration(queue.GetTargetRuntimeMs())*time.Millisecond
	c := candidate{step: step, queue: queue, due: start.Add(objective)}
	if step.GetPerpetual() {
		return c // what lasts must not be away for longer than it takes to start it
	}
	switch ready := wall.Add(left); {
	case ready.After(start.Add(lateFactor * objective)):
		c.outlook = hopeless
	case ready.After(c.due):
		c.outlook = late
	}
	return c
}

// chain returns the number of steps in the longest chain of those that count.
func chain(steps []*workload.Step, counts func(*workload.Step) bool) int {
	lengths := make([]int, len(steps))
	longest := 0
	for n, step := range steps {
		for _, before := range step.GetAfter() {
			lengths[n] = max(lengths[n], lengths[before])
		}
		if counts(step) {
			lengths[n]++
		}
		longest = max(longest, lengths[n])
	}
	return longest
}

// host pairs a worker with what the choice of a host looks at.
type host struct {
	*colocation.Host
	worker *worker
}

// hosts returns the workers that may get new runs.
func (d *Dispatcher) hosts() []host {
	hosts := make([]host, 0, len(d.workers))
	for _, w := range d.roster {
		if !d.isUsable(w) {
			continue
		}
		w.roomTaken = nil
		h := host{Host: &colocation.Host{Rack: rackOf(w.life), Suspect: w.failures > 0 || d.now.Before(w.suspectUntil)}, worker: w}
		h.refresh()
		hosts = append(hosts, h)
	}
	return hosts
}

// refresh follows what was placed on a host since.
func (h *host) refresh() {
	w := h.worker
	h.Free = w.life.Capacity().Sub(w.used)
	h.Serving, h.Strain, h.Fills, h.Halted = w.serving, w.strain, w.fills, w.pace < fullPace
	h.Processors, h.Gentle = w.life.GetProcessors(), w.gentle
	h.Spare = spare(w)
}

// spare returns the milli-cores that a worker's tasks are expected to leave unused.
func spare(w *worker) int64 {
	unused := int64((1 - servingLoad) * float64(w.servers))
	return w.life.GetProcessors() - w.used.Processors - w.fills + unused
}

// rackOf returns the label that names the worker's rack. The first label is its kind.
func rackOf(life *workload.Worker) string {
	if labels := life.GetLabels(); len(labels) > 1 {
		return labels[1]
	}
	return ""
}

// kindOf classifies the tasks of a step.
func kindOf(step *workload.Step) colocation.Kind {
	switch {
	case step.GetFills():
		return colocation.Fill
	case step.Serves():
		return colocation.Serving
	}
	return colocation.Exact
}

// demand returns what a task of a step needs of a host.
func (d *Dispatcher) demand(c candidate) colocation.Demand {
	return colocation.Demand{
		Kind: kindOf(c.step), Need: c.step.Demand(), Processors: c.step.GetProcessors(), DataRack: c.step.GetDataRack(),
	}
}

// placeTasks chooses workers for the waiting tasks of a step, and returns for how many it found one, and for how many not.
func (d *Dispatcher) placeTasks(c candidate, hosts []host) (placed, missing int) {
	demand := d.demand(c)
	for _, task := range c.step.Tasks {
		if !task.IsWaiting() || d.reserved[task.Key()] {
			continue
		}
		var chosen *host
		if missing == 0 {
			chosen = d.choose(c, demand, hosts, nil)
		}
		if chosen == nil {
			missing++
			continue
		}
		d.assign(task, chosen.worker, task.LastRun+1, false)
		chosen.refresh()
		placed++
	}
	return placed, missing
}

// choose returns the best host for a task of a step, or nil. Tasks on hosts of taken count for the limit per worker.
func (d *Dispatcher) choose(c candidate, demand colocation.Demand, hosts []host, avoid func(*worker) bool) *host {
	var best *host
	var bestScore int64
	for i := range hosts {
		h := &hosts[i]
		if !colocation.HasRoom(demand, h.Host) || !d.allows(c, h.worker) || avoid != nil && avoid(h.worker) {
			continue
		}
		d.choices--
		demand.Companions, demand.Mixes = d.companions(c.step, h.worker), mixes(c.step, h.worker)
		demand.Unsure = demand.Companions == disturbance.Unknown && d.unsure(c.step, h.worker)
		if score, ok := colocation.Score(demand, h.Host); ok && (best == nil || score > bestScore) {
			best, bestScore = h, score
		}
	}
	return best
}

// allows reports whether the rules of a step and its queue permit a worker, and the advice service where it is asked.
func (d *Dispatcher) allows(c candidate, w *worker) bool {
	return d.allowsUnadvised(c, w) && (!c.queue.GetAdvised() || d.ticketFor(c.step, w) != "")
}

func (d *Dispatcher) allowsUnadvised(c candidate, w *worker) bool {
	if w.life.GetPool() != c.queue.GetPool() {
		return false
	}
	if label := c.step.GetRequiredLabel(); label != "" && !w.life.HasLabel(label) {
		return false
	}
	if limit := c.step.GetMaxPerWorker(); limit > 0 && d.tasksOn(c.step, w) >= int(limit) {
		return false
	}
	return true
}

// tasksOn counts the tasks of a step that run on a worker or are about to.
func (d *Dispatcher) tasksOn(step *workload.Step, w *worker) int {
	count := 0
	for _, task := range step.Tasks {
		for _, r := range task.Runs {
			if r.Worker == w.life.GetNumber() {
				count++
			}
		}
	}
	return count + w.promised[step]
}

// assign reserves room for a run and proposes it. The order is sent once the assignment is committed. A gentle run is slowed
// down as soon as it is there.
func (d *Dispatcher) assign(task *workload.Task, w *worker, number uint32, gentle bool) {
	key := workload.RunKey{Task: task.Key(), Run: number}
	d.reserved[key.Task] = true
	d.charge(w, task.Step, 1)
	d.noteTrials(task.Step, w)
	w.promise(task.Step, 1)
	start := &controlpb.StartRun{Task: key.Task.Ref(), Run: number, Worker: w.life.GetNumber()}
	d.propose(&controlpb.WorkChange{Kind: &controlpb.WorkChange_StartRun{StartRun: start}}, func(result *controlpb.Result) {
		delete(d.reserved, key.Task)
		d.charge(w, task.Step, -1)
		w.promise(task.Step, -1)
		if result == nil || result.GetCode() != controlpb.ResultCode_RESULT_OK {
			d.config.Log.Info("assignment refused", "Task", key.Task.String(), "Run", number, "Worker", w.life.GetId(), "Reason", result.GetMessage())
			return
		}
		if d.workers[w.life.GetNumber()] != w {
			return // its life ended in the same batch; the state has taken the run back
		}
		r := d.addRun(key, task, w)
		r.gentle = gentle
		d.config.Count("RunsStarted")
		d.config.Log.Info("run assigned", "Task", key.Task.String(), "Run", number, "Worker", w.life.GetId(), "Spare",
			spare(w), "Strain", w.strain, "Gentle", gentle, "HeardAgo", d.now.Sub(w.heard).String())
		d.start(r)
	})
}

// promise counts runs of a step that are proposed for a worker.
func (w *worker) promise(step *workload.Step, sign int) {
	if w.promised == nil {
		w.promised = map[*workload.Step]int{}
	}
	w.promised[step] += sign
	if w.promised[step] == 0 {
		delete(w.promised, step)
	}
}
