package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenamoor/internal/decision/routing"
)

// BenchmarkPick measures one Pick and the release of its slot, with one or two slots at each endpoint.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 70, 970} {
		for _, c := range []routing.Chooser{routing.LowestLatency{}, routing.PowerOfTwo{}, &routing.RoundRobin{}} {
			b.Run(fmt.Sprintf("%T/%d", c, n), func(b *testing.B) {
				p := routing.New("z0", rand.New(rand.NewPCG(1, 2)), c)
				t := routing.Table{Version: 1}
				for i := range n {
					t.Endpoints = append(t.Endpoints, routing.Endpoint{Name: fmt.Sprint(i), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%4), Slots: 1 + i%2})
				}
				p.Update(t)
				now := time.Unix(1000, 0)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Microsecond)
					target := p.Pick(now, nil)
					p.Answered(now, target, time.Duration(40+i%20)*time.Millisecond)
				}
			})
		}
	}
}
