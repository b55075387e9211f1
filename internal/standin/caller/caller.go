// Package caller is a stand-in for the callers of a service, who send calls through the gateways.
package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenamoor/internal/standin/audit"
	"galenamoor/internal/standin/balancer"
	"galenamoor/internal/standin/endpoint"
)

// deadline is the time from the start of each call to its deadline. It is short because people wait for the answers.
const deadline = 2 * time.Second

// Config describes the callers of one service.
type Config struct {
	Service  string
	Rate     float64 // calls per second
	Seed     uint64
	Balancer *balancer.Balancer
	Audit    *audit.Audit
}

// Caller sends calls as a Poisson process of constant rate, and counts outcomes and latencies. Phase and Results may be
// called while Run runs.
type Caller struct {
	config     Config
	mu         sync.Mutex
	phases     []*phase // the last one is current
	inProgress sync.WaitGroup
}

// phase holds the counts of the calls that were sent during one phase of the run.
type phase struct {
	name     string
	latency  *hdrhistogram.Histogram // microseconds
	outcomes map[string]int
}

// New returns a Caller in the phase "start". Run sends its calls.
func New(config Config) *Caller {
	c := &Caller{config: config}
	c.Phase("start")
	return c
}

// Phase starts a phase of the run. Calls sent from then on are counted under its name.
func (c *Caller) Phase(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phases = append(c.phases, &phase{name: name, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), outcomes: map[string]int{}})
}

func (c *Caller) currentPhase() *phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phases[len(c.phases)-1]
}

// Run sends calls until the context is done, and waits for calls in progress.
func (c *Caller) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.config.Seed, 2))
	for number := 0; ; number++ {
		pause := time.Duration(random.ExpFloat64() / c.config.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			c.inProgress.Wait()
			return
		case <-time.After(pause):
		}
		key := fmt.Sprintf("%d-%d.%d", time.Now().Unix(), c.config.Seed, number)
		repeatable := random.IntN(2) == 0
		c.inProgress.Add(1)
		go func() {
			defer c.inProgress.Done()
			c.sendCall(key, repeatable)
		}()
	}
}

// sendCall sends one call and records its outcome. It doesn't use the context of Run, whose end must not cancel calls.
func (c *Caller) sendCall(key string, repeatable bool) {
	begin := time.Now()
	p := c.currentPhase()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	body := []byte("waiver of " + key)
	url := fmt.Sprintf("http://%s/v1/services/%s/calls", c.config.Balancer.Call(), c.config.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		c.countOutcome(p, "error", 0)
		return
	}
	request.Header.Set("Galenamoor-Request-Key", key)
	request.Header.Set("Galenamoor-Deadline", deadline.String())
	request.Header.Set("Galenamoor-Repeatable", strconv.FormatBool(repeatable))
	response, err := c.config.Balancer.Doer().Do(request)
	if err != nil {
		// A failed dial is permitted, because the load balancer may not have noticed yet that a daemon stopped. Any other
		// error means that an accepted call was interrupted.
		var dial *net.OpError
		c.config.Audit.Check(audit.GracefulStop, errors.As(err, &dial) && dial.Op == "dial", "call %s: %v", key, err)
		c.countOutcome(p, "no answer", 0)
		return
	}
	c.config.Audit.Check(audit.GracefulStop, true, "")
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Galenamoor-Outcome")
	c.countOutcome(p, outcome, time.Since(begin))
	switch outcome {
	case "answered":
		c.config.Audit.Check(audit.CorrectAnswer, err == nil && bytes.Equal(answer, endpoint.Answer(key, body)), "call %s got %q", key, answer)
	case "not-run":
		c.config.Audit.NotRun(key)
	}
}

func (c *Caller) countOutcome(p *phase, outcome string, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == "" {
		outcome = "no outcome"
	}
	p.outcomes[outcome]++
	if outcome == "answered" {
		_ = p.latency.RecordValue(latency.Microseconds())
	}
}

// Result holds the outcomes and latencies of the calls of one phase.
type Result struct {
	Phase          string
	Outcomes       map[string]int
	P50, P99, P999 time.Duration // of answered calls
}

// Results returns the current results of each phase in which calls were completed.
func (c *Caller) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var results []Result
	for _, p := range c.phases {
		if len(p.outcomes) == 0 {
			continue
		}
		quantile := func(q float64) time.Duration { return time.Duration(p.latency.ValueAtQuantile(q)) * time.Microsecond }
		results = append(results, Result{Phase: p.name, Outcomes: maps.Clone(p.outcomes), P50: quantile(50), P99: quantile(99), P999: quantile(99.9)})
	}
	return results
}
