package controlstate

import (
	"maps"
	"slices"
	"unique"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// SnapshotFormat is the version of the snapshot encoding that Snapshot writes and Restore accepts.
const SnapshotFormat = 1

// Field numbers of controlpb.StateSnapshot.
const (
	fieldZones     = 5
	fieldKeys      = 6
	fieldWorkers   = 7
	fieldJobs      = 8
	fieldEndpoints = 9
	fieldGrants    = 10
	fieldIntents   = 11
)

// snapshotRecordBytes is the approximate encoded size of a task, key or intent in bytes. It sizes the buffer of the
// encoder, so that it rarely grows.
const snapshotRecordBytes = 192

// encoder appends records to an encoded StateSnapshot one at a time, so that no copy of the whole state as messages is
// needed.
type encoder struct {
	bytes   []byte
	scratch []byte
}

func (e *encoder) add(field protowire.Number, m proto.Message) {
	var err error
	e.scratch, err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(e.scratch[:0], m)
	if err != nil {
		panic(err) // only invalid UTF-8 fails to encode, and decoding the command has already rejected it
	}
	if field == 0 {
		e.bytes = append(e.bytes, e.scratch...)
		return
	}
	e.bytes = protowire.AppendTag(e.bytes, field, protowire.BytesType)
	e.bytes = protowire.AppendBytes(e.bytes, e.scratch)
}

// Snapshot returns the encoded state. The encoding is deterministic: replicas with equal state return equal bytes.
func (s *State) Snapshot() []byte { return s.PrepareSnapshot()() }

// PrepareSnapshot takes a copy-on-write copy of the state and returns a function that encodes it. The function may run on
// another goroutine while more commands are applied. The cost of taking the copy does not depend on the number of tasks.
func (s *State) PrepareSnapshot() func() []byte {
	copied := &State{
		time: s.time, version: s.version, config: s.config, nextFence: s.nextFence, nextEpoch: s.nextEpoch,
		zones: maps.Clone(s.zones), keys: maps.Clone(s.keys), intents: maps.Clone(s.intents),
		jobs: s.jobs.Clone(), tasks: s.tasks.Clone(), workers: s.workers.Clone(), endpoints: s.endpoints.Clone(),
	}
	workSnapshot := s.workload.Snapshot()
	return func() []byte { return copied.encode(workSnapshot) }
}

func (s *State) encode(workSnapshot *controlpb.WorkSnapshot) []byte {
	e := &encoder{bytes: make([]byte, 0, snapshotRecordBytes*(s.tasks.Len()+len(s.keys)+len(s.intents)))}
	e.add(0, &controlpb.StateSnapshot{
		Format: SnapshotFormat, Version: s.version, Inventory: s.config.inventoryText, Rules: s.config.rulesText,
		NextFence: s.nextFence, NextEpoch: s.nextEpoch, Time: s.time, Work: workSnapshot,
	})
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		zone := s.zones[name]
		e.add(fieldZones, &controlpb.ZoneRecord{Zone: name, Out: zone.Out, Version: zone.Version, Since: zone.Since})
	}
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		e.add(fieldKeys, &controlpb.KeyRecord{Key: key, Time: s.keys[key].time, Result: s.keys[key].result})
	}
	s.workers.Ascend(func(w *Worker) bool {
		e.add(fieldWorkers, w.Record())
		return true
	})
	s.jobs.Ascend(func(j *Job) bool {
		e.add(fieldJobs, s.jobRecord(j))
		return true
	})
	s.Endpoints(func(endpoint *Endpoint) { e.add(fieldEndpoints, endpoint.Record()) })
	s.Endpoints(func(endpoint *Endpoint) { e.addGrants(endpoint) })
	for _, key := range slices.Sorted(maps.Keys(s.intents)) {
		i := s.intents[key]
		e.add(fieldIntents, &controlpb.IntentRecord{
			Key: key, Time: i.time, Service: i.service.Value(), Gateway: i.gateway.Value(),
			GatewayIncarnation: i.incarnation, Outcome: i.outcome,
		})
	}
	return e.bytes
}

// addGrants encodes the grants of an endpoint. A grant with an unconfirmed reduction takes two records: first the slots
// that the gateway may still hold, then the grant.
func (e *encoder) addGrants(endpoint *Endpoint) {
	for _, g := range endpoint.Grants {
		record := &controlpb.SlotGrant{
			Endpoint: endpoint.Name, Incarnation: endpoint.Incarnation, Gateway: g.Gateway, GatewayIncarnation: g.Incarnation,
		}
		if g.Held != g.Slots {
			record.Slots = g.Held
			e.add(fieldGrants, record)
		}
		record.Slots, record.Epoch = g.Slots, g.Epoch
		e.add(fieldGrants, record)
	}
}

func (s *State) jobRecord(j *Job) *controlpb.JobRecord {
	record := &controlpb.JobRecord{
		Spec: j.Spec, Submitted: j.Submitted, Finished: j.Finished, RequestKey: j.RequestKey, Cancelled: j.Cancelled,
	}
	for _, t := range s.tasksOf(j.Name()) {
		record.Tasks = append(record.Tasks, t.Record())
	}
	return record
}

// Restore replaces the state with a snapshot. If it returns an error, the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	m := &controlpb.StateSnapshot{}
	if err := proto.Unmarshal(snapshot, m); err != nil {
		return trace.BadParameter("control state snapshot: %v", err)
	}
	if m.GetFormat() != SnapshotFormat {
		return trace.BadParameter("control state snapshot: %s: format %d; this version reads format %d",
			ReasonUnsupportedFormat, m.GetFormat(), SnapshotFormat)
	}
	next := New()
	if m.GetVersion() > 0 && m.GetInventory() != "" {
		config, err := parseConfiguration(m.GetInventory(), m.GetRules())
		if err != nil {
			return trace.Wrap(err, "control state snapshot")
		}
		next.config = config
	}
	if err := next.restore(m); err != nil {
		return trace.Wrap(err, "control state snapshot")
	}
	next.changes.all = true
	next.index = s.index
	*s = *next
	return nil
}

func (s *State) restore(m *controlpb.StateSnapshot) error {
	s.version, s.time = m.GetVersion(), m.GetTime()
	s.nextFence, s.nextEpoch = m.GetNextFence(), m.GetNextEpoch()
	for _, z := range m.GetZones() {
		s.zones[z.GetZone()] = zoneState{z.GetOut(), z.GetVersion(), z.GetSince()}
	}
	s.restoreKeys(m)
	workers := map[string]*Worker{}
	for _, r := range m.GetWorkers() {
		w := &Worker{Name: r.GetName(), Incarnation: r.GetIncarnation(), Capacity: r.GetCapacity().Vector(), Lost: r.GetLost()}
		w.Limit = w.Capacity
		s.applyInventory(w)
		workers[w.Name] = w
		s.workers.ReplaceOrInsert(w)
	}
	for _, r := range m.GetJobs() {
		if err := s.restoreJob(r, workers); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, r := range m.GetEndpoints() {
		s.putEndpoint(newEndpoint(r))
	}
	for _, g := range m.GetGrants() {
		if err := s.restoreGrant(g); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.workload.Restore(m.GetWork()); err != nil {
		return trace.Wrap(err)
	}
	s.changes, s.views = changeLog{}, newViewCache()
	return nil
}

func (s *State) restoreJob(r *controlpb.JobRecord, workers map[string]*Worker) error {
	j := &Job{
		Spec: r.GetSpec(), Submitted: r.GetSubmitted(), Finished: r.GetFinished(), RequestKey: r.GetRequestKey(),
		Cancelled: r.GetCancelled(),
	}
	for _, record := range r.GetTasks() {
		t, err := newTask(record)
		if err != nil {
			return trace.Wrap(err)
		}
		if t.ID.Job != j.Name() {
			return trace.BadParameter("task %v in the record of job %s", t.ID, j.Name())
		}
		t.ID.Job, t.Why = j.Name(), intern(t.Why) // interned, because many tasks have equal strings
		if !t.Ended() {
			j.Open++
		}
		if t.Placed() {
			w := workers[t.Worker] // no View shares it yet, so it is modified in place
			if w == nil {
				return trace.BadParameter("task %v: no record of its worker %s", t.ID, t.Worker)
			}
			t.Worker, w.Used = w.Name, w.Used.Add(t.Charge)
			w.Tasks++
			s.tasksByWorker[w.Name] = append(s.tasksByWorker[w.Name], t.ID)
		}
		s.tasks.ReplaceOrInsert(t)
	}
	s.jobs.ReplaceOrInsert(j)
	if j.Finished != 0 && !s.config.listed(j.Name()) {
		s.finishedJobs.ReplaceOrInsert(j)
	}
	return nil
}

func (s *State) restoreGrant(r *controlpb.SlotGrant) error {
	e := s.Endpoint(r.GetEndpoint())
	if e == nil || e.Incarnation != r.GetIncarnation() {
		return trace.BadParameter("grant to %s: no record of endpoint %s", r.GetGateway(), r.GetEndpoint())
	}
	next := *e
	next.Grants = slices.Clone(e.Grants)
	g := &next.Grants[grantIndex(&next, r.GetGateway(), r.GetGatewayIncarnation())]
	g.Slots, g.Epoch = r.GetSlots(), r.GetEpoch()
	g.Held = max(g.Held, g.Slots)
	s.putEndpoint(&next)
	return nil
}

// restoreKeys restores keys and intents sorted by time, because the expiry queues require that order.
func (s *State) restoreKeys(m *controlpb.StateSnapshot) {
	slices.SortStableFunc(m.GetKeys(), func(a, b *controlpb.KeyRecord) int { return int(a.GetTime() - b.GetTime()) })
	for _, r := range m.GetKeys() {
		s.keys[r.GetKey()] = keyRecord{r.GetTime(), r.GetResult()}
		s.keyQueue.push(r.GetTime(), r.GetKey())
	}
	slices.SortStableFunc(m.GetIntents(), func(a, b *controlpb.IntentRecord) int { return int(a.GetTime() - b.GetTime()) })
	for _, r := range m.GetIntents() {
		s.intents[r.GetKey()] = intent{
			r.GetTime(), r.GetGatewayIncarnation(), unique.Make(r.GetService()), unique.Make(r.GetGateway()), r.GetOutcome(),
		}
		s.intentQueue.push(r.GetTime(), r.GetKey())
	}
}
