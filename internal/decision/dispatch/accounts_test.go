package dispatch

import (
	"fmt"
	"testing"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/account"
	"galenamoor/internal/decision/allotment"
	"galenamoor/internal/decision/occupancy"
	"galenamoor/internal/decision/workload"
)

// datedAccounts are the client accounts of a routing configuration that is in force from a time on.
type datedAccounts struct {
	from     time.Time
	accounts *account.Directory
}

// clientAccount returns an account with a limit of processors, in milli-cores, whose key is its name.
func clientAccount(name string, weight float64, processors int64) *controlpb.ClientAccount {
	return &controlpb.ClientAccount{Name: name, KeyDigests: [][]byte{account.Digest(name)}, Weight: weight, Processors: processors}
}

// submissionBy is like submission, with the key of a client account.
func submissionBy(name, queue, id string, steps ...*controlpb.WorkStep) *controlpb.WorkRequest {
	work := submission(queue, id, steps...)
	work.GetCaller().KeyDigest = account.Digest(name)
	return work
}

// setAccounts installs the next version of the queues with client accounts.
func (sim *simulation) setAccounts(accounts ...*controlpb.ClientAccount) {
	sim.t.Helper()
	next := routing(sim.state.Routing().GetVersion()+1, 3)
	next.HasAccounts, next.Accounts = true, accounts
	sim.serve(&controlpb.WorkRequest{Kind: &controlpb.WorkRequest_ReplaceRouting{ReplaceRouting: next}})
	sim.accounts = append(sim.accounts, datedAccounts{sim.now, account.New(accounts)})
}

// accountExcess tells what is above the limit of a step's client account if one of its tasks starts on an order that was sent at a time, or
// returns an empty string. The limits count that were in force when the order was sent, and later ones.
func (sim *simulation) accountExcess(step *workload.Step, sent time.Time) string {
	name := step.Job.Spec.GetAccount()
	used := allotment.New()
	used.Charge(name, need(step), 1)
	for _, worker := range sim.workers {
		for _, other := range worker.ordered {
			if worker.up && !other.orphaned && other.task.Step.Job.Spec.GetAccount() == name {
				used.Charge(name, need(other.task.Step), 1)
			}
		}
	}
	for i, dated := range sim.accounts {
		isOver := i+1 < len(sim.accounts) && sim.accounts[i+1].from.Before(sent)
		if !isOver && !used.Exceeds(dated.accounts.Named(name)) {
			return ""
		}
	}
	if name == "" || len(sim.accounts) == 0 {
		return ""
	}
	return fmt.Sprintf("account %s uses %v", name, used.Use(name))
}

// newAccountSimulation returns a simulation of four workers of 32 cores, with client accounts "a", with a limit of processors, and "b",
// without one.
func newAccountSimulation(t *testing.T, limit int64) *simulation {
	t.Helper()
	sim := newSimulationWithWorkers(t, 1, 4)
	sim.setAccounts(clientAccount("a", 1, limit), clientAccount("b", 1, 0))
	return sim
}

// submitBy submits a job on behalf of a client account, which must be accepted.
func (sim *simulation) submitBy(name, queue, id string, steps ...*controlpb.WorkStep) {
	sim.t.Helper()
	if got := sim.serve(submissionBy(name, queue, id, steps...)).GetWork().GetOutcome(); got != controlpb.WorkOutcome_WORK_OK {
		sim.t.Fatalf("job %s: %v", id, got)
	}
}

// usedBy returns the milli-cores that the working tasks of a client account use.
func (sim *simulation) usedBy(name string) int64 {
	used := int64(0)
	for _, worker := range sim.workers {
		for _, r := range worker.ordered {
			if r.task.Step.Job.Spec.GetAccount() == name {
				used += r.task.Step.GetProcessors()
			}
		}
	}
	return used
}

// limitAccounts gives the scenario client accounts whose limits allow a part of what is submitted.
func (s *startScenario) limitAccounts() {
	s.setAccounts(clientAccount("a", 1, 20_000), clientAccount("b", 4, 30_000), clientAccount("c", 1, 0))
	s.account = "a"
}

// changeAccount takes the next account in turn.
func (s *startScenario) changeAccount() {
	s.account = map[string]string{"a": "b", "b": "c", "c": "a"}[s.account]
}

// The check of the sessions must notice a start above a limit.
func TestAccountCheckFindsPlantedStart(t *testing.T) {
	sim := newAccountSimulation(t, 8000)
	sim.submitBy("a", "urgent", "job", dedicated(3, 5*time.Second))
	sim.run(time.Second)
	waiting := sim.state.Job("job").Steps(0)[0]
	if waiting.Waiting != 1 {
		t.Fatalf("%d tasks wait at the limit, expected 1", waiting.Waiting)
	}
	if sim.accountExcess(waiting, sim.now) == "" {
		t.Error("a third start isn't reported")
	}
	sim.setAccounts(clientAccount("a", 1, 12_000))
	if excess := sim.accountExcess(waiting, sim.now); excess != "" {
		t.Errorf("a start within the raised limit is reported: %s", excess)
	}
}

// A new leader must count the starts of its predecessors, also of those that it never saw answered.
func TestAccountLimitDuringChangesOfLeader(t *testing.T) {
	sim := newAccountSimulation(t, 40_000)
	for i := range 6 {
		sim.submitBy("a", "urgent", fmt.Sprintf("job-%d", i), dedicated(10, 600*time.Millisecond))
	}
	most := int64(0)
	for i := range 300 {
		if i%7 == 0 && i < 150 {
			sim.changeLeader()
		}
		sim.run(20 * time.Millisecond)
		most = max(most, sim.usedBy("a"))
	}
	if most != 40_000 {
		t.Errorf("at most %d milli-cores are used, expected 40000", most)
	}
	sim.run(10 * time.Second)
	for i := range 6 {
		sim.expect(fmt.Sprintf("job-%d", i), controlpb.WorkState_WORK_COMPLETED)
	}
}

// A limit that is lowered below what runs must start nothing more until enough has ended, and must stop nothing.
func TestAccountLimitLoweredDuringBurst(t *testing.T) {
	for delay := time.Duration(0); delay <= 60*time.Millisecond; delay += 10 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			sim := newAccountSimulation(t, 80_000)
			stopped := 0
			sim.dispatcher.config.Count = func(name string) {
				if name == "RunsStopped" {
					stopped++
				}
			}
			sim.request(submissionBy("a", "urgent", "job", dedicated(40, 1500*time.Millisecond)))
			sim.run(delay)
			sim.setAccounts(clientAccount("a", 1, 20_000), clientAccount("b", 1, 0))
			sim.run(5 * time.Second)
			if stopped > 0 {
				t.Errorf("%d runs were stopped", stopped)
			}
			if used := sim.usedBy("a"); used > 20_000 || used < 12_000 {
				t.Errorf("%d milli-cores are used, expected up to 20000", used)
			}
			sim.run(15 * time.Second)
			sim.expect("job", controlpb.WorkState_WORK_COMPLETED)
		})
	}
}

// A start whose answer is lost may have been carried out: it must count until it is known or its worker is lost.
func TestLostAnswerAtAccountLimit(t *testing.T) {
	sim := newAccountSimulation(t, 4000)
	for _, worker := range sim.workers {
		worker.answersLost = true
	}
	sim.submitBy("a", "urgent", "job", dedicated(4, 300*time.Millisecond))
	sim.run(2 * time.Second)
	if started := len(sim.starts); started != 1 {
		t.Errorf("%d tasks have started, expected 1", started)
	}
	for _, worker := range sim.workers {
		worker.answersLost = false
	}
	sim.run(20 * time.Second)
	sim.expect("job", controlpb.WorkState_WORK_COMPLETED)
}

// A gang must start whole within the limit or not at all, and one that never fits must be rejected at once.
func TestGangAtAccountLimit(t *testing.T) {
	sim := newAccountSimulation(t, 16_000)
	gang := func(count uint32) *controlpb.WorkStep {
		step := dedicated(count, time.Second)
		step.Gang = true
		return step
	}
	if got := sim.serve(submissionBy("a", "urgent", "large", gang(5))).GetWork().GetOutcome(); got != controlpb.WorkOutcome_WORK_INVALID {
		t.Errorf("a gang beyond the limit: %v", got)
	}
	sim.submitBy("b", "urgent", "unlimited", gang(5))
	sim.submitBy("a", "urgent", "single", dedicated(1, 2*time.Second))
	sim.submitBy("a", "urgent", "gang-1", gang(4))
	sim.submitBy("a", "urgent", "gang-2", gang(3))
	sim.run(1500 * time.Millisecond)
	if starts := sim.starts["gang-1.0.0.0"]; starts != 0 {
		t.Errorf("a gang of four has started beside another task: %d starts", starts)
	}
	sim.run(8 * time.Second)
	for _, id := range []string{"unlimited", "single", "gang-1", "gang-2"} {
		sim.expect(id, controlpb.WorkState_WORK_COMPLETED)
	}
	if sim.gangTimeouts > 0 {
		t.Errorf("%d members of gangs have waited in vain", sim.gangTimeouts)
	}
}

// Lasting tasks beyond the limit must not hold room, move others or take headroom from the jobs of other accounts, and must start once the
// limit is raised.
func TestLastingTasksAtAccountLimit(t *testing.T) {
	sim := newAccountSimulation(t, 13_000)
	sim.submitBy("b", "urgent", "finite", dedicated(2, 500*time.Millisecond))
	sim.run(2 * time.Second)
	sim.submitBy("a", "urgent", "lasting", serving(14, "image"))
	sim.run(4 * time.Second)
	d := sim.dispatcher
	if used := sim.usedBy("a"); used != 12_000 {
		t.Errorf("%d milli-cores are used, expected 12000", used)
	}
	if len(d.holds)+len(d.relocations.active)+len(d.relocations.shortSince) > 0 {
		t.Errorf("%d steps hold room, %d relocations, %d steps lack room", len(d.holds), len(d.relocations.active), len(d.relocations.shortSince))
	}
	for c, cause := range d.waitCauses(d.candidates(), d.hosts(), &lastingWaits{}) {
		if cause != occupancy.AccountLimit {
			t.Errorf("%s waits for %s", c.step.Name(), cause)
		}
	}
	sim.submitBy("b", "urgent", "other", serving(8, "image"))
	sim.setAccounts(clientAccount("a", 1, 84_000), clientAccount("b", 1, 0))
	sim.run(5 * time.Second)
	if used := sim.usedBy("a") + sim.usedBy("b"); used < 120_000 {
		t.Errorf("%d milli-cores are used after the limit was raised", used)
	}
}
