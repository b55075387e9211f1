package workload

import (
	"net"
	"strings"

	"galenamoor/internal/controlpb"
)

// replaceRouting puts a routing in force if its version is higher than that of the one in force. An older one is
// acknowledged without effect, because operators send a change again when its acknowledgement was lost.
func (s *State) replaceRouting(routing *controlpb.Routing) *controlpb.Result {
	if s.routing != nil && routing.GetVersion() <= s.routing.GetVersion() {
		return &controlpb.Result{Version: s.routing.GetVersion()}
	}
	s.routing = routing
	s.pools = map[string]*controlpb.WorkPool{}
	for _, pool := range routing.GetPools() {
		s.pools[pool.GetName()] = pool
	}
	for _, queue := range routing.GetQueues() {
		s.queues[queue.GetName()] = queue
	}
	return &controlpb.Result{Version: routing.GetVersion()}
}

// Match returns the queue with the longest prefix of a path at a host, and the rest of the path; nil when none matches.
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
