package replica

import (
	"context"
	"sync"
	"time"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/shell/announcement"
)

const (
	// batchDelay is how long a batch is open for further renewals. Endpoints renew a lease of 2.5 s every second and
	// workers one of 15 s every 5 s, so the delay doesn't let leases expire, and an announcement still reaches every
	// gateway within 1 s.
	batchDelay = 100 * time.Millisecond

	// maxBatchRequests limits a batch, so that it takes only a small part of the leader's request queue.
	maxBatchRequests = 128

	// batchTimeout limits the wait for the answer to a batch, which takes as long as the slowest of its requests. The
	// leader answers renewals without reports immediately.
	batchTimeout = 2 * time.Second
)

// batchable reports whether a request may be sent in a batch: it is repeated periodically, idempotent, and answered by the
// leader immediately. A renewal with reports isn't batchable, because its answer waits until the reports are applied and
// would delay the others of its batch.
func batchable(request *controlpb.LeaderRequest) bool {
	renewal := request.GetRenewal()
	return request.GetEndpointRenewal() != nil || renewal != nil && len(renewal.GetReports()) == 0 && !renewal.GetLeaving()
}

// batcher sends renewals to the leader in batches: the overhead of an RPC is about as large as an endpoint's renewal, and
// renewals of the same service compress well together.
type batcher struct {
	replica *Replica
	mutex   sync.Mutex
	open    *batch // accepts further requests; nil if there is none

	sender    uint64                // random identifier of this process
	announced announcement.Sender   // replaces announcements in sent batches by their numbers
	received  announcement.Receiver // restores announcements in batches sent to this daemon as the leader
}

// batch is a group of requests that are sent in one RPC. The field replies is set before done is closed.
type batch struct {
	target   leaderTarget
	requests []*controlpb.LeaderRequest
	replies  []*controlpb.LeaderReply
	sendOnce sync.Once
	done     chan struct{}
}

// send sends a request in a batch and returns the reply to that request.
func (b *batcher) send(ctx context.Context, target leaderTarget, request *controlpb.LeaderRequest) *controlpb.LeaderReply {
	joinedBatch, position := b.add(target, request)
	select {
	case <-joinedBatch.done:
		return joinedBatch.replies[position]
	case <-ctx.Done():
		return reply(controlpb.ResultCode_RESULT_UNKNOWN, "no answer in time; the renewal may have been taken")
	}
}

// add adds a request to the open batch and returns the batch and the position in it. A batch is sent when it is full, when
// batchDelay has passed, or when the target changes.
func (b *batcher) add(target leaderTarget, request *controlpb.LeaderRequest) (joinedBatch *batch, position int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.open != nil && b.open.target != target {
		b.close(b.open)
	}
	if b.open == nil {
		opened := &batch{target: target, done: make(chan struct{})}
		b.open = opened
		b.replica.options.Clock.AfterFunc(batchDelay, func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.close(opened)
		})
	}
	joinedBatch, position = b.open, len(b.open.requests)
	joinedBatch.requests = append(joinedBatch.requests, request)
	if len(joinedBatch.requests) == maxBatchRequests {
		b.close(joinedBatch)
	}
	return joinedBatch, position
}

// close closes a batch to further requests and starts sending it, once. The caller holds the mutex.
func (b *batcher) close(closed *batch) {
	if b.open == closed {
		b.open = nil
	}
	closed.sendOnce.Do(func() { go b.replica.sendBatch(closed) })
}

// sendBatch forwards a batch to the leader. If the answer doesn't hold a reply to each request, every request gets the
// answer to the batch.
func (r *Replica) sendBatch(b *batch) {
	defer close(b.done)
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	sent := r.compress(b)
	answer := r.forwardToLeader(ctx, b.target, &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_Batch{Batch: &controlpb.LeaderBatch{
		Requests: sent, Sender: r.batcher.sender,
	}}})
	if b.replies = answer.GetReplies(); len(b.replies) == len(sent) {
		r.recordAnnouncementResults(b, sent)
		return
	}
	b.replies = make([]*controlpb.LeaderReply, len(b.requests))
	for i := range b.replies {
		b.replies[i] = answer
	}
}

// compress returns the requests of a batch, with announcements that the leader knows replaced by their numbers.
func (r *Replica) compress(b *batch) []*controlpb.LeaderRequest {
	sent := make([]*controlpb.LeaderRequest, len(b.requests))
	for i, request := range b.requests {
		sent[i] = request
		if renewal := request.GetEndpointRenewal(); renewal != nil {
			sent[i] = endpointRenewal(r.batcher.announced.Compress(b.target.address.String(), renewal))
		}
	}
	return sent
}

func (r *Replica) recordAnnouncementResults(b *batch, sent []*controlpb.LeaderRequest) {
	for i, request := range b.requests {
		if renewal := request.GetEndpointRenewal(); renewal != nil {
			name := renewal.GetEndpoint().GetName()
			r.batcher.announced.HandleResult(b.target.address.String(), name, sent[i].GetEndpointRenewal(), b.replies[i].GetResult())
		}
	}
}

func endpointRenewal(renewal *controlpb.EndpointRenewal) *controlpb.LeaderRequest {
	return &controlpb.LeaderRequest{Kind: &controlpb.LeaderRequest_EndpointRenewal{EndpointRenewal: renewal}}
}

// handleBatch handles a batch from another daemon. Its requests are enqueued in order before any answer is awaited.
func (r *Replica) handleBatch(ctx context.Context, b *controlpb.LeaderBatch) *controlpb.LeaderReply {
	if len(b.GetRequests()) > maxBatchRequests {
		return reply(controlpb.ResultCode_RESULT_INVALID, "batch: too many requests")
	}
	for _, request := range b.GetRequests() {
		if !batchable(request) {
			return reply(controlpb.ResultCode_RESULT_INVALID, "batch: expected renewals without reports only")
		}
	}
	pending := make([]*pendingRequest, 0, len(b.GetRequests()))
	for _, request := range b.GetRequests() {
		pending = append(pending, r.enqueueBatched(b.GetSender(), request))
	}
	answer := &controlpb.LeaderReply{}
	for _, p := range pending {
		answer.Replies = append(answer.Replies, r.await(ctx, p).Reply)
	}
	return answer
}

// enqueueBatched enqueues a request of a batch. A renewal with an unknown announcement number is rejected, upon which the
// sender sends the announcement in full.
func (r *Replica) enqueueBatched(sender uint64, request *controlpb.LeaderRequest) *pendingRequest {
	if renewal := request.GetEndpointRenewal(); renewal != nil {
		restored := r.batcher.received.Expand(sender, renewal)
		if restored == nil {
			p := &pendingRequest{answer: make(chan DeferredReply, 1)}
			p.answer <- DeferredReply{Reply: reply(controlpb.ResultCode_RESULT_UNAVAILABLE, announcement.UnknownNumberMessage)}
			return p
		}
		request = endpointRenewal(restored)
	}
	return r.enqueue(request)
}
