// Package dependency describes which steps of a job wait for which others.
package dependency

// Graph holds the dependencies between the steps of a job, which are numbered from 0. It is immutable and takes memory in
// proportion to the steps and dependencies.
type Graph struct {
	blockers   []uint32 // by step: its dependencies
	chains     []uint32 // by step: steps on the longest chain that begins with it
	first      []uint32 // by step: index of its first dependent; one entry more than steps
	dependents []uint32
	longest    uint32 // of chains
}

// New returns the graph of steps that each depend on the listed ones. A step may depend only on earlier ones, and may list one more than
// once.
func New(dependencies [][]uint32) *Graph {
	g := &Graph{
		blockers: make([]uint32, len(dependencies)), chains: make([]uint32, len(dependencies)), first: make([]uint32, len(dependencies)+1),
	}
	for step, before := range dependencies {
		g.blockers[step] = uint32(len(before))
		for _, dependency := range before {
			g.first[dependency+1]++
		}
	}
	for step := range dependencies {
		g.first[step+1] += g.first[step]
	}
	g.dependents = make([]uint32, g.first[len(dependencies)])
	next := append([]uint32(nil), g.first...)
	for step := range dependencies {
		for _, dependency := range dependencies[step] {
			g.dependents[next[dependency]] = uint32(step)
			next[dependency]++
		}
	}
	for step := len(dependencies) - 1; step >= 0; step-- {
		for _, dependent := range g.Dependents(uint32(step)) {
			g.chains[step] = max(g.chains[step], g.chains[dependent])
		}
		g.chains[step]++
		g.longest = max(g.longest, g.chains[step])
	}
	return g
}

// Blockers returns the number of dependencies of a step, repeated ones included.
func (g *Graph) Blockers(step uint32) uint32 { return g.blockers[step] }

// Dependents returns the steps that depend on a step, in ascending order, once for each time that they list it. The result must not be
// changed.
func (g *Graph) Dependents(step uint32) []uint32 {
	return g.dependents[g.first[step]:g.first[step+1]]
}

// Chain returns the number of steps on the longest dependency chain that begins with a step, including that step.
func (g *Graph) Chain(step uint32) uint32 { return g.chains[step] }

// LongestChain returns the number of steps on the longest dependency chain, 0 without steps.
func (g *Graph) LongestChain() uint32 { return g.longest }
