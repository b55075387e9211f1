package controlstate

import (
	"strconv"
	"strings"
	"unique"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// maxKeyLength bounds request keys, in bytes.
const maxKeyLength = 128

// keyRecord is the first result of an operator's request.
type keyRecord struct {
	time   int64 // recorded time, unix nanoseconds
	result *controlpb.Result
}

// intent records a non-repeatable call, so that it is dispatched at most once.
type intent struct {
	time        int64  // recorded time, unix nanoseconds
	incarnation uint64 // of the gateway
	service     unique.Handle[string]
	gateway     unique.Handle[string]
	outcome     controlpb.Outcome
}

// applyOnce makes a request idempotent: it calls apply, or returns the first result again if the request key is
// known. Unavailable results are not stored, so that the request can be retried with the same key.
func (s *State) applyOnce(key string, apply func() *controlpb.Result) *controlpb.Result {
	if key == "" || len(key) > maxKeyLength {
		return s.withVersion(invalid(ReasonBadKey, "request key %q: expected 1 to %d bytes", key, maxKeyLength))
	}
	if first, ok := s.keys[key]; ok {
		return proto.CloneOf(first.result)
	}
	if created, ok := keyTime(key); ok && s.keyTimeExpired(created) {
		return s.withVersion(refuse(controlpb.ResultCode_RESULT_KEY_EXPIRED, ReasonKeyExpired, "%q is older than %v", key, KeyRetention))
	}
	if len(s.keys) >= MaxKeys {
		return s.withVersion(unavailable(ReasonTooMany, "%d request keys are kept", len(s.keys)))
	}
	result := s.withVersion(apply())
	if result.GetCode() != controlpb.ResultCode_RESULT_UNAVAILABLE {
		s.keys[key] = keyRecord{s.time, proto.CloneOf(result)}
		s.keyQueue.push(s.time, key)
	}
	return result
}

func (s *State) withVersion(r *controlpb.Result) *controlpb.Result {
	r.Version = s.version
	return r
}

// timestampDigits is the number of digits of unix seconds from 2001 to 2286. A key whose first part has another length is
// not interpreted as a timestamp.
const timestampDigits = 10

// keyTime returns the time of a key of the form <unix-seconds>-<random> in unix nanoseconds, and false for other keys.
func keyTime(key string) (int64, bool) {
	digits, random, ok := strings.Cut(key, "-")
	if !ok || len(digits) != timestampDigits || random == "" {
		return 0, false
	}
	seconds, err := strconv.ParseUint(digits, 10, 40)
	return int64(seconds) * 1e9, err == nil
}

func (s *State) keyTimeExpired(created int64) bool { return created < s.time-int64(KeyRetention) }

// recordIntent records that a non-repeatable call is about to be dispatched. It succeeds at most once per key, unless the
// outcome of the earlier attempt is recorded as not run.
func (s *State) recordIntent(c *controlpb.RecordIntent) *controlpb.Result {
	key := c.GetRequestKey()
	created, ok := keyTime(key)
	switch {
	case !ok || len(key) > maxKeyLength:
		return invalid(ReasonBadKey, "request key %q: expected <unix-seconds>-<random> of at most %d bytes", key, maxKeyLength)
	case s.keyTimeExpired(created):
		return refuse(controlpb.ResultCode_RESULT_KEY_EXPIRED, ReasonKeyExpired, "%q is older than %v", key, KeyRetention)
	case created > s.time+int64(KeySkew):
		return invalid(ReasonBadKey, "request key %q: its time is more than %v ahead", key, KeySkew)
	}
	first, known := s.intents[key]
	if known && first.outcome != controlpb.Outcome_OUTCOME_NOT_RUN {
		refused := refuse(controlpb.ResultCode_RESULT_DUPLICATE, ReasonIntentExists, "%q", key)
		refused.Owner, refused.OwnerIncarnation, refused.Outcome = first.gateway.Value(), first.incarnation, first.outcome
		return refused
	}
	if !known && len(s.intents) >= MaxIntents {
		return unavailable(ReasonTooMany, "%d intents are kept", len(s.intents))
	}
	key = strings.Clone(key) // so that the other fields of the command can be garbage-collected
	s.intents[key] = intent{s.time, c.GetGatewayIncarnation(), unique.Make(c.GetService()), unique.Make(c.GetGateway()), 0}
	s.intentQueue.push(s.time, key)
	return &controlpb.Result{}
}

// recordOutcome records the outcome of a non-repeatable call. "Answered" and "not run" are final; "unknown" may still
// become "answered", but never "not run".
func (s *State) recordOutcome(c *controlpb.RecordOutcome) *controlpb.Result {
	record, ok := s.intents[c.GetRequestKey()]
	switch {
	case !ok:
		return notFound(ReasonUnknownIntent, "%q", c.GetRequestKey())
	case record.gateway.Value() != c.GetGateway() || record.incarnation != c.GetGatewayIncarnation():
		return rejected(ReasonNotOwner, "%q belongs to %s", c.GetRequestKey(), record.gateway.Value())
	case record.outcome == c.GetOutcome():
		return &controlpb.Result{Outcome: record.outcome}
	case record.outcome == controlpb.Outcome_OUTCOME_PENDING:
	case record.outcome == controlpb.Outcome_OUTCOME_UNKNOWN && c.GetOutcome() == controlpb.Outcome_OUTCOME_ANSWERED:
	default:
		return rejected(ReasonOutcomeRecorded, "%q is %v", c.GetRequestKey(), record.outcome)
	}
	record.outcome = c.GetOutcome()
	s.intents[c.GetRequestKey()] = record
	return &controlpb.Result{Outcome: record.outcome}
}

// expireKeys removes keys, intents, finished jobs and endpoints past their retention time. The bound of the command is
// capped at KeyRetention before the recorded time.
func (s *State) expireKeys(c *controlpb.ExpireKeys) *controlpb.Result {
	before := min(c.GetBefore(), s.time-int64(KeyRetention))
	for {
		entry, ok := s.keyQueue.popBefore(before)
		if !ok {
			break
		}
		delete(s.keys, entry.value)
	}
	for {
		entry, ok := s.intentQueue.popBefore(before - int64(KeySkew))
		if !ok {
			break
		}
		if s.intents[entry.value].time == entry.time {
			delete(s.intents, entry.value)
		}
	}
	s.expireJobs(before + int64(KeyRetention) - int64(JobRetention))
	s.removeGoneEndpoints()
	return &controlpb.Result{}
}

// HasExpired reports whether an ExpireKeys command at the given time, in unix nanoseconds, would remove anything.
func (s *State) HasExpired(now int64) bool {
	if len(s.goneEndpoints) > 0 {
		return true
	}
	before := min(now, s.time) - int64(KeyRetention)
	if oldest, ok := s.keyQueue.oldest(); ok && oldest < before {
		return true
	}
	if oldest, ok := s.intentQueue.oldest(); ok && oldest < before-int64(KeySkew) {
		return true
	}
	first, ok := s.finishedJobs.Min()
	return ok && first.Finished < before+int64(KeyRetention)-int64(JobRetention)
}
