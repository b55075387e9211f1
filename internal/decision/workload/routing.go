package workload

import (
	"net"
	"slices"
	"strings"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/account"
)

// replaceRouting activates a routing configuration if its version is higher than that of the active one. Any other is
// acknowledged without effect, because operators repeat a change whose acknowledgement was lost.
func (s *State) replaceRouting(routing *controlpb.Routing) *controlpb.Result {
	if s.routing != nil && routing.GetVersion() <= s.routing.GetVersion() {
		return &controlpb.Result{Version: s.routing.GetVersion()}
	}
	s.routing = routing
	s.pools = map[string]*controlpb.WorkPool{}
	for _, pool := range routing.GetPools() {
		s.pools[pool.GetName()] = pool
	}
	s.accounts = account.New(routing.GetAccounts())
	for _, queue := range routing.GetQueues() {
		s.queues[queue.GetName()] = queue
	}
	s.failExhaustedJobs()
	return &controlpb.Result{Version: routing.GetVersion()}
}

// failExhaustedJobs fails the jobs with waiting tasks that have used all attempts that their queues allow now.
func (s *State) failExhaustedJobs() {
	for _, j := range slices.Clone(s.jobOrder) {
		for t := range j.CurrentTasks() {
			s.failIfExhausted(t)
		}
		s.finalizeJob(j)
	}
}

// Match returns the queue with the longest matching path prefix for a host, and the rest of the path; nil if none matches.
// The host may include a port, and its case doesn't matter.
func (s *State) Match(host, path string) (queue *controlpb.WorkQueue, rest string) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	longest := -1
	for _, candidate := range s.routing.GetQueues() {
		prefix := candidate.GetPathPrefix()
		if len(prefix) > longest && strings.EqualFold(candidate.GetHost(), host) && strings.HasPrefix(path, prefix) {
			queue, longest = candidate, len(prefix)
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[longest:]
}
