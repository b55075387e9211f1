package dispatch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// disk holds what a controller reads when it starts: a snapshot, and the commands that were committed since.
type disk struct {
	sim      *simulation
	snapshot *controlpb.WorkSnapshot
	log      []*controlpb.Command
}

// newDisk returns a disk that keeps the log from now on.
func newDisk(sim *simulation) *disk {
	d := &disk{sim: sim}
	d.compact()
	sim.onCommit = func(command *controlpb.Command) { d.log = append(d.log, proto.CloneOf(command)) }
	return d
}

// compact replaces the log by a snapshot.
func (d *disk) compact() { d.snapshot, d.log = proto.CloneOf(d.sim.state.Snapshot()), nil }

// read returns the state that the disk holds.
func (d *disk) read() *workload.State {
	d.sim.t.Helper()
	state := workload.New()
	if err := state.Restore(proto.CloneOf(d.snapshot)); err != nil {
		d.sim.t.Fatal(err)
	}
	for _, command := range d.log {
		state.Apply(d.sim.now, proto.CloneOf(command.GetWork()))
	}
	return state
}

// restore replaces the state of all replicas by that of a snapshot.
func (sim *simulation) restore(snapshot *controlpb.WorkSnapshot) {
	sim.t.Helper()
	state := workload.New()
	if err := state.Restore(proto.CloneOf(snapshot)); err != nil {
		sim.t.Fatal(err)
	}
	sim.state = state
}

// restartControllers ends all controllers. After the outage they read their disk, and one leads at once.
func (sim *simulation) restartControllers(d *disk, outage time.Duration) {
	config := sim.dispatcher.config
	sim.changeLeader()
	sim.dispatcher = New(config)
	sim.run(outage)
	sim.mailbox = nil
	sim.state = d.read()
	sim.dispatcher, sim.standby = New(config), New(config)
	sim.dispatcher.Applied(sim.now, nil)
	sim.standby.Applied(sim.now, nil)
	sim.dispatcher.StartLeading(sim.now)
}

// restartControllersByReplay does the same with replicas that apply their log command by command.
func (sim *simulation) restartControllersByReplay(d *disk) {
	config := sim.dispatcher.config
	sim.changeLeader()
	sim.mailbox = nil
	sim.restore(d.snapshot)
	sim.dispatcher, sim.standby = New(config), New(config)
	for _, command := range d.log {
		sim.state.Apply(sim.now, proto.CloneOf(command.GetWork()))
		sim.dispatcher.Applied(sim.now, nil)
		sim.standby.Applied(sim.now, nil)
	}
	sim.dispatcher.StartLeading(sim.now)
}

// expectRecent waits until the leader tracks the workers, and fails the test unless the runs of exactly the given jobs count as recent.
func (sim *simulation) expectRecent(jobs map[string]bool) {
	sim.t.Helper()
	sim.run(100 * time.Millisecond)
	found := map[string]bool{}
	for key, r := range sim.dispatcher.runs {
		found[key.Task.Job] = true
		isRecent := !r.recentUntil.IsZero()
		if recent, ok := jobs[key.Task.Job]; ok && isRecent != recent {
			sim.t.Errorf("%v counts as recent: %v, expected %v", key.Task, isRecent, recent)
		}
	}
	for job := range jobs {
		if !found[job] {
			sim.t.Errorf("nothing of %s runs", job)
		}
	}
}
