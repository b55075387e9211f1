package dispatch

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gopkg.in/ini.v1"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/workload"
)

// flood is a load in which the first of several client accounts with equal shares submits far more jobs than the others, read from a data
// file.
type flood struct {
	Workers    int // of 32 cores and 128 GiB
	Seed       uint64
	Duration   time.Duration
	Accounts   int
	Weight     float64       // of each account, jobs a second
	Every      time.Duration // between two jobs of an account
	FloodEvery time.Duration // between two jobs of the first account
	Tasks      uint32
	Processors int64
	Memory     int64
	Runtime    time.Duration
	Within     time.Duration // in which a job has to be done to count as served
	OthersKeep float64       // bound on the share of jobs of the others that are served, of those without a flood
}

// ordering is how waiting jobs are ordered.
type ordering string

const (
	shares         ordering = "shares"                  // by the shares of client accounts inside a priority
	strictPriority ordering = "strict priority"         // by priority and lateness
	firstCome      ordering = "first come first served" // by the time of submission
)

// TestFloods guards against an account whose flood takes the place of others. The orderings without shares must lose more, or the load
// wouldn't show what shares are for.
func TestFloods(t *testing.T) {
	files, err := filepath.Glob("testdata/floods/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no floods: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			content, err := ini.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			var load flood
			if err := content.Section("Flood").StrictMapTo(&load); err != nil {
				t.Fatal(err)
			}
			kept := map[ordering]float64{}
			for _, by := range []ordering{shares, strictPriority, firstCome} {
				calm, floodedCalm := load.play(t, by, false)
				others, first := load.play(t, by, true)
				kept[by] = float64(others) / float64(calm)
				t.Logf("%s: others served %d, %d without the flood (%.3f); first account %d, %d without", by, others, calm, kept[by], first, floodedCalm)
				if by == shares && first < floodedCalm {
					t.Errorf("the first account gets less than its share: %d jobs served, %d without the flood", first, floodedCalm)
				}
			}
			if kept[shares] < load.OthersKeep {
				t.Errorf("with shares, the other accounts keep %.3f of their service, expected %.2f", kept[shares], load.OthersKeep)
			}
			for _, by := range []ordering{strictPriority, firstCome} {
				if kept[by] >= load.OthersKeep {
					t.Errorf("with %s, the other accounts keep %.3f of their service: the load doesn't tell the orderings apart", by, kept[by])
				}
			}
		})
	}
}

// play returns the number of jobs of the first account and of the others that are served.
func (f *flood) play(t *testing.T, by ordering, floods bool) (others, first int) {
	t.Helper()
	sim := newSimulationWithWorkers(t, f.Seed, f.Workers)
	var accounts []*controlpb.ClientAccount
	for i := range f.Accounts {
		accounts = append(accounts, clientAccount(fmt.Sprintf("account-%d", i), f.Weight, 0))
	}
	switch by {
	case shares:
		sim.setAccounts(accounts...)
	case firstCome:
		next := routing(sim.state.Routing().GetVersion()+1, 3)
		next.Queues[0].TargetRuntimeMs = time.Hour.Milliseconds() // no job is late, so that the order is by time
		sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: next}})
	}
	for i, holder := range accounts {
		every, served := f.Every, &others
		if i == 0 {
			served = &first
			if floods {
				every = f.FloodEvery
			}
		}
		number := 0
		for at := every * time.Duration(i) / time.Duration(f.Accounts); at < f.Duration; at += every {
			number++
			f.submit(sim, holder.GetName(), fmt.Sprintf("%s-%d", holder.GetName(), number), at, served)
		}
	}
	sim.run(f.Duration + f.Within)
	return others, first
}

// submit submits a job after a delay, and counts it if it is served.
func (f *flood) submit(sim *simulation, name, id string, delay time.Duration, served *int) {
	step := &controlpb.WorkStep{Count: f.Tasks, Processors: f.Processors, Memory: f.Memory, EstimateMs: f.Runtime.Milliseconds()}
	sim.after(delay, func() { sim.request(submissionBy(name, "urgent", id, step)) })
	sim.after(delay+f.Within, func() {
		if sim.stateOf(id) == controlpb.WorkState_WORK_COMPLETED {
			*served++
		}
	})
}

// A new leader must keep jobs in excess behind those within the shares, and must not start the clock of an account in excess anew.
func TestSharesAcrossLeaders(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	sim.setAccounts(clientAccount("a", 1, 0), clientAccount("b", 1, 0))
	sim.submitBy("b", "urgent", "first", dedicated(8, 4*time.Second))
	for i := range 20 {
		sim.submitBy("a", "urgent", fmt.Sprintf("flood-%d", i), dedicated(1, time.Second))
	}
	sim.changeLeader()
	sim.run(100 * time.Millisecond)
	sim.submitBy("a", "urgent", "flood-20", dedicated(1, time.Second))
	sim.submitBy("b", "urgent", "second", dedicated(1, time.Second))
	if excess := sim.state.Job("flood-20").Spec.GetExcessMs(); excess <= 0 {
		t.Errorf("the new leader takes a flood for a job within the share: excess %d ms", excess)
	}
	inExcess := 0
	for _, c := range sim.dispatcher.candidates() {
		if c.inExcess {
			inExcess++
		} else if inExcess > 0 {
			t.Errorf("%s waits behind %d jobs in excess", c.step.Name(), inExcess)
		}
	}
	if inExcess < 10 {
		t.Errorf("%d jobs are in excess", inExcess)
	}
}

// Ordering by shares must leave the other rules in force: more urgent queues and interrupted lasting tasks first, worthless jobs last.
func TestOrderOfSharesAndLateness(t *testing.T) {
	step := &workload.Step{WorkStep: &controlpb.WorkStep{}}
	urgent, batch := &controlpb.WorkQueue{}, &controlpb.WorkQueue{Priority: 2}
	ordered := []candidate{
		{queue: urgent, interrupted: true},
		{queue: urgent},
		{queue: urgent, timeliness: late},
		{queue: urgent, inExcess: true},
		{queue: urgent, inExcess: true, timeliness: late},
		{queue: urgent, timeliness: tooLate},
		{queue: urgent, inExcess: true, timeliness: tooLate},
		{queue: batch},
	}
	for i := range ordered {
		ordered[i].step = step
		for j := range ordered {
			if got := compareCandidates(ordered[i], ordered[j]); (got < 0) != (i < j) || (got == 0) != (i == j) {
				t.Errorf("candidates %d and %d: %d", i, j, got)
			}
		}
	}
}

// One account's flood must not fill the bound on all jobs. The others' jobs must still be accepted, and its own again once some are done.
func TestFloodLeavesRoomInTheBacklog(t *testing.T) {
	sim := newSimulationWithWorkers(t, 1, 1)
	accounts := []*controlpb.ClientAccount{clientAccount("a", 1, 0), clientAccount("b", 1, 0), clientAccount("c", 2, 0)}
	sim.setAccounts(accounts...)
	accept := func(name string, jobs int) (accepted int) {
		for i := range jobs {
			work := submissionBy(name, "urgent", fmt.Sprintf("%s-%d-%d", name, sim.now.UnixMilli(), i), dedicated(1, time.Minute))
			reply, wait := sim.dispatcher.Serve(sim.now, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Work{Work: work}})
			switch {
			case wait:
				accepted++
			case reply.GetWork().GetOutcome() != controlpb.WorkOutcome_WORK_OVERLOADED || reply.GetWork().GetRetryAfterMs() <= 0:
				t.Fatalf("job of %s: %v", name, reply)
			}
		}
		sim.run(time.Second)
		return accepted
	}
	if got := accept("a", maxJobs); got != maxJobs/2 {
		t.Errorf("a flood of one account takes %d jobs, expected half of the bound", got)
	}
	if got := accept("b", maxJobs/5); got != maxJobs/5 {
		t.Errorf("%d jobs of another account are accepted beside the flood, expected %d", got, maxJobs/5)
	}
	if got := accept("c", maxJobs); got != maxJobs-maxJobs/2-maxJobs/5 {
		t.Errorf("%d jobs of the account with half of the weight are accepted, expected what is left", got)
	}
	sim.changeLeader()
	sim.run(time.Second)
	if got := accept("a", 10); got != 0 {
		t.Errorf("a new leader accepts %d jobs of the flood", got)
	}
}
