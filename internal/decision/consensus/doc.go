// Package consensus implements a leader-based replicated log as a deterministic state machine.
//
// A [Node] uses no goroutines, sockets, files or clocks. The caller passes it messages, proposals and the time, takes an
// [Output] from [Node.Ready], processes it, and reports completion with [Node.Advance]. A Node is not safe for concurrent
// use.
//
// The driving loop of a caller is:
//
//	node.Tick(now), node.Step(now, m) or node.Propose(now, data)
//	for {
//		o, ok := node.Ready()
//		if !ok { break }
//		send(o.Immediate)                  // needs no sync
//		persist(o.Snapshot, o.HardState, o.Entries)
//		apply(o.Snapshot, o.Committed)
//		// after the sync:
//		send(o.Messages)
//		node.Advance(now, o)
//	}
//
// Ready may be called again before earlier outputs are advanced, so that work is accepted while a sync runs.
// Outputs must be persisted and advanced in the order in which Ready returned them. A caller that limits the outputs in
// flight sends the messages of [Node.Immediate] while the limit is reached.
//
// # Design
//
// An entry counts towards a quorum only after the Advance of the output that contained it. A leader sends entries to its
// followers before its own sync completes, because its own copy counts only after that sync.
//
// An append reply acknowledges durable entries in Index and received entries in Hint. Heartbeats are therefore answered
// during a slow sync, and the leader detects lost appends by comparing Hint with what it sent in earlier rounds.
//
// An entry that a quorum of other voters has stored is committed before the leader's own sync completes. A leader whose
// disk does not reach such an entry within the check-quorum timeout transfers its leadership.
//
// A committed entry is delivered for application only once it is durable on this replica, so that the state machine is
// never ahead of the local disk.
//
// A membership takes effect when its entry is appended, and is reverted when the entry is truncated. A leader proposes
// one only after it has committed an entry of its own term and the previous membership entry.
//
// An append reply contains a stamp, the time of the follower's clock. The leader echoes the stamp in an append once a
// round that started after the reply arrived is confirmed by a quorum. When the follower has applied the commit index of
// that append, its state is known to have been current at the time of the stamp, which [Node.FreshAt] returns.
//
// A leader that has sent TIMEOUT_NOW holds no lease for the rest of that term, because the message can arrive late. It
// steps down when the transfer does not succeed in time.
//
// A replica whose own removal is not committed still campaigns, without counting its own vote, because it may be the only
// one that holds the entry. Only committed removals exclude an identity from elections.
//
// A follower that grants a pre-vote defers its own election once, and a leader that stepped down because it lost its
// quorum delays its next election. Both avoid split votes.
//
// A learner without a disk may keep its identity across restarts. It must never be promoted, because it does not
// persist its vote.
//
// A bootstrap identity may be started on an empty folder only once: a wiped replica that returned with it could vote
// twice in a term. After a failed sync the caller must stop using the node, because later outputs would build on state
// that was not stored.
package consensus
