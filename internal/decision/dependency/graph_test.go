package dependency

import (
	"math/rand/v2"
	"testing"
)

// longestChain walks all chains that begin with a step.
func longestChain(dependencies [][]uint32, step int) uint32 {
	longest := uint32(0)
	for later := step + 1; later < len(dependencies); later++ {
		for _, dependency := range dependencies[later] {
			if int(dependency) == step {
				longest = max(longest, longestChain(dependencies, later))
			}
		}
	}
	return longest + 1
}

// TestGraph guards against dependents that are never released, or too early, and against chains of a wrong length, on random graphs with
// repeated dependencies.
func TestGraph(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		dependencies := make([][]uint32, random.IntN(9))
		for step := 1; step < len(dependencies); step++ {
			for range random.IntN(4) {
				dependencies[step] = append(dependencies[step], uint32(random.IntN(step)))
			}
		}
		g := New(dependencies)
		released, longest := make([]uint32, len(dependencies)), uint32(0)
		for step := range dependencies {
			for _, dependent := range g.Dependents(uint32(step)) {
				released[dependent]++
			}
			if chain, expected := g.Chain(uint32(step)), longestChain(dependencies, step); chain != expected {
				t.Fatalf("%v: chain of %d steps from step %d, expected %d", dependencies, chain, step, expected)
			}
			longest = max(longest, g.Chain(uint32(step)))
		}
		for step, before := range dependencies {
			if g.Blockers(uint32(step)) != uint32(len(before)) || released[step] != uint32(len(before)) {
				t.Fatalf("%v: step %d has %d blockers and is released %d times", dependencies, step, g.Blockers(uint32(step)), released[step])
			}
		}
		if g.LongestChain() != longest {
			t.Fatalf("%v: longest chain %d, expected %d", dependencies, g.LongestChain(), longest)
		}
	}
}
