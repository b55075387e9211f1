package logstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"galenamoor/internal/controlpb"
)

// model is the test oracle: the state that a folder must hold after the acknowledged calls.
type model struct {
	hardState *controlpb.HardState
	snapshot  *controlpb.Snapshot
	entries   []*controlpb.Entry // after the snapshot
}

// save returns the model after a batch. A received snapshot discards a log that lacks the last entry it covers.
func (m model) save(b Batch) model {
	if b.HardState != nil {
		m.hardState = b.HardState
	}
	if s := b.Snapshot; s != nil {
		at := s.Index - m.snapshot.GetIndex()
		if at > 0 && at <= uint64(len(m.entries)) && m.entries[at-1].Term == s.Term {
			m.entries = m.entries[at:]
		} else {
			m.entries = nil
		}
		m.snapshot = s
	}
	if len(b.Entries) > 0 {
		keep := b.Entries[0].Index - m.snapshot.GetIndex() - 1
		m.entries = append(append([]*controlpb.Entry{}, m.entries[:keep]...), b.Entries...)
	}
	return m
}

// compact returns the model after a Compact with the snapshot.
func (m model) compact(s *controlpb.Snapshot) model {
	m.entries = m.entries[s.Index-m.snapshot.GetIndex():]
	m.snapshot = s
	return m
}

func (m model) equal(r *Recovered) bool {
	same := proto.Equal(m.hardState, r.HardState) && proto.Equal(m.snapshot, r.Snapshot) && len(m.entries) == len(r.Entries)
	for i := 0; same && i < len(m.entries); i++ {
		same = proto.Equal(m.entries[i], r.Entries[i])
	}
	return same
}

// call is a call of Compact, if the snapshot is set, or of Save.
type call struct {
	batch   Batch
	compact *controlpb.Snapshot
}

// randomScript returns a random script of calls that consensus could make, and the models before the first call and after
// each call.
func randomScript(random *rand.Rand, count int) ([]call, []model) {
	var (
		script []call
		models = []model{{}}
		term   = uint64(1)
	)
	if random.IntN(2) == 0 { // bootstrap of a cluster
		c := call{batch: Batch{Snapshot: &controlpb.Snapshot{Membership: &controlpb.Membership{Removed: []uint64{1}}}}}
		script, models = append(script, c), append(models, models[0].save(c.batch))
	}
	for range count {
		m := models[len(models)-1]
		first, length := m.snapshot.GetIndex(), uint64(len(m.entries))
		var c call
		switch kind := random.IntN(10); {
		case kind == 0 && length > 0:
			at := 1 + random.Uint64N(length)
			c.compact = &controlpb.Snapshot{Index: first + at, Term: m.entries[at-1].Term, State: randomData(random)}
		case kind == 1:
			term++
			at := 1 + random.Uint64N(length+5)
			c.batch.Snapshot = &controlpb.Snapshot{Index: first + at, Term: term, State: randomData(random)}
			if at <= length && random.IntN(2) == 0 {
				c.batch.Snapshot.Term = m.entries[at-1].Term
			}
			c.batch.HardState = &controlpb.HardState{Term: term}
		default:
			if random.IntN(4) == 0 {
				term++
				c.batch.HardState = &controlpb.HardState{Term: term, Vote: random.Uint64()}
			}
			next := first + 1 + random.Uint64N(length+1)
			if random.IntN(3) > 0 {
				next = first + 1 + length
			}
			for range 1 + random.IntN(3) {
				c.batch.Entries = append(c.batch.Entries, &controlpb.Entry{Index: next, Term: term, Data: randomData(random)})
				next++
			}
		}
		script = append(script, c)
		if c.compact != nil {
			models = append(models, m.compact(c.compact))
		} else {
			models = append(models, m.save(c.batch))
		}
	}
	return script, models
}

func randomData(random *rand.Rand) []byte {
	return bytes.Repeat([]byte{byte(random.Uint32())}, random.IntN(30))
}

func (c call) run(store *Store) error {
	if c.compact != nil {
		return store.Compact(c.compact)
	}
	return store.Save(c.batch)
}

func open(fs FS) (*Store, *Recovered, error) {
	return Open("data", Options{FS: fs, SegmentBytes: 200, NewIdentity: func() (uint64, error) { return 7, nil }})
}

// runScript runs a script on fs until a call fails, checks that the store then rejects further calls, and returns the
// number of acknowledged calls.
func runScript(t *testing.T, fs *faultFS, script []call) (acknowledged int) {
	t.Helper()
	store, _, err := open(fs)
	if err != nil {
		return 0
	}
	defer store.Close()
	for i, c := range script {
		if c.run(store) == nil {
			continue
		}
		fs.limit = -1
		if later := (call{batch: Batch{HardState: &controlpb.HardState{Term: 99}}}); later.run(store) == nil {
			t.Fatalf("call %d failed, and a later one was acknowledged", i)
		}
		return i
	}
	return len(script)
}

// checkRecovery opens a folder after a fault and checks the recovered state. The failed call must have taken effect
// completely or not at all. A call with a received snapshot may also have saved only its term, or its term and snapshot.
func checkRecovery(t *testing.T, fs *faultFS, script []call, models []model, acknowledged int, description string) *Store {
	t.Helper()
	store, recovered, err := open(fs)
	if err != nil {
		t.Fatalf("%s: %v", description, trace.DebugReport(err))
	}
	allowed := []model{models[acknowledged]}
	if acknowledged+1 < len(models) {
		allowed = append(allowed, models[acknowledged+1])
		if batch := script[acknowledged].batch; batch.Snapshot != nil {
			term := models[acknowledged].save(Batch{HardState: batch.HardState})
			allowed = append(allowed, term, term.save(Batch{Snapshot: batch.Snapshot}))
		}
	}
	if !slices.ContainsFunc(allowed, func(m model) bool { return m.equal(recovered) }) {
		t.Fatalf("%s: recovered %v\nwant one of %v", description, recovered, allowed)
	}
	if acknowledged > 0 && recovered.Identity != 7 {
		t.Fatalf("%s: identity %d", description, recovered.Identity)
	}
	return store
}

// A crash at any written byte or operation must not lose an acknowledged call or leave one half done. This covers torn
// records, the writing and renaming of snapshots, and the deletion of segments, on a disk that keeps a random part of
// the unsynced data. The same fault without a crash stands for a full disk or a failed sync, after which the store must
// not acknowledge any call.
func TestFaultAtEveryUnit(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2 // a seed takes long under the race detector
	}
	for seed := range seeds {
		script, models := randomScript(rand.New(rand.NewPCG(seed, 1)), 25)
		faultless := newFaultFS()
		if n := runScript(t, faultless, script); n != len(script) {
			t.Fatalf("seed %d: call %d failed without a fault", seed, n)
		}
		for limit := range faultless.units {
			for _, crash := range []bool{true, false} {
				fs := newFaultFS()
				fs.limit, fs.crash = limit, crash
				n := runScript(t, fs, script)
				description := fmt.Sprintf("seed %d, unit %d, crash %v", seed, limit, crash)
				random := rand.New(rand.NewPCG(seed, uint64(limit)))
				fs = fs.afterCrash(random)
				fs.limit, fs.crash = random.IntN(100), true // a second crash during recovery
				if store, _, err := open(fs); err == nil {
					store.Close()
				}
				checkRecovery(t, fs.afterCrash(random), script, models, n, description).Close()
			}
		}
	}
}

// A killed process may leave unsynced writes. The next process relies on those that it reads, so they must survive a
// power loss. Otherwise the folder could have a gap between its segments, or the replica could lose its vote.
func TestKillThenPowerLoss(t *testing.T) {
	for seed := range uint64(3) {
		script, models := randomScript(rand.New(rand.NewPCG(seed, 1)), 25)
		faultless := newFaultFS()
		runScript(t, faultless, script)
		for limit := range faultless.units {
			fs := newFaultFS()
			fs.limit, fs.crash = limit, true
			n := runScript(t, fs, script)
			fs.limit, fs.crash = -1, false // the process was killed; its unsynced writes are still visible
			description := fmt.Sprintf("seed %d, unit %d", seed, limit)
			store, recovered, err := open(fs)
			if err != nil {
				t.Fatalf("%s: %v", description, trace.DebugReport(err))
			}
			store.Close()
			random := rand.New(rand.NewPCG(seed, uint64(limit)))
			reopened, recoveredAgain, err := open(fs.afterCrash(random))
			if err != nil {
				t.Fatalf("%s: after the power loss: %v", description, trace.DebugReport(err))
			}
			reopened.Close()
			recovered.Truncated, recoveredAgain.Truncated = 0, 0
			if diff := cmp.Diff(recovered, recoveredAgain, protocmp.Transform()); diff != "" {
				t.Fatalf("%s: acknowledged %d of %d calls; the power loss changed the recovered state:\n%s", description, n, len(models)-1, diff)
			}
		}
	}
}

// FuzzRestarts runs random scripts with restarts between calls. It guards against differences between the state of a
// newly opened store and that of a store that has been open for longer.
func FuzzRestarts(f *testing.F) {
	for seed := range uint64(50) {
		f.Add(seed, seed%7)
	}
	f.Fuzz(func(t *testing.T, seed, restartInterval uint64) {
		random := rand.New(rand.NewPCG(seed, 2))
		script, models := randomScript(random, 40)
		fs := newFaultFS()
		store, _, err := open(fs)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range script {
			if err := c.run(store); err != nil {
				t.Fatalf("call %d: %v", i, err)
			}
			if restartInterval > 0 && uint64(i)%restartInterval == 0 {
				store.Close()
				fs = fs.afterCrash(random)
				store = checkRecovery(t, fs, script, models[:i+2], i+1, fmt.Sprintf("call %d", i))
			}
		}
		store.Close()
	})
}

// A damaged byte in any record but the last must be reported with the file and the record's offset. Damage to the last
// record can't be distinguished from a torn write, so an incomplete last record must be truncated.
func TestDamageErrorLocation(t *testing.T) {
	fs := newFaultFS()
	store, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join("data", segmentName(1))
	offsets := []int{fileHeaderBytes}
	for i := range uint64(4) {
		if err := store.Save(Batch{Entries: []*controlpb.Entry{{Index: i + 1, Term: 1, Data: []byte("data")}}}); err != nil {
			t.Fatal(err)
		}
		offsets = append(offsets, len(fs.files[name].data))
	}
	store.Close()
	for i := range offsets[3] {
		damaged := fs.afterCrash(rand.New(rand.NewPCG(1, 1)))
		damaged.files[name].data[i] ^= 0x40
		recordOffset := 0
		for n, offset := range offsets {
			if i >= offset {
				recordOffset = offset
				_ = n
			}
		}
		_, _, err := open(damaged)
		if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%s: offset %d", name, recordOffset)) {
			t.Fatalf("byte %d: got %v, want an error with %s and offset %d", i, err, name, recordOffset)
		}
	}
	for i := offsets[3]; i < offsets[4]; i++ {
		torn := fs.afterCrash(rand.New(rand.NewPCG(1, 1)))
		torn.files[name].data = torn.files[name].data[:i]
		_, recovered, err := open(torn)
		if err != nil || len(recovered.Entries) != 3 || recovered.Truncated != int64(i-offsets[3]) {
			t.Fatalf("torn at byte %d: got %v, %v", i, recovered, err)
		}
	}
}

// Open must return a clear error for a folder in use, a newer format, a damaged identity or snapshot, and a missing
// identity or segment. A replica that started on such a folder could vote twice in a term or lose entries.
func TestOpenErrors(t *testing.T) {
	newer := func(data []byte) []byte {
		binary.LittleEndian.PutUint32(data[8:], Format+1)
		binary.LittleEndian.PutUint64(data[20:], xxhash.Sum64(data[:20]))
		return data
	}
	tests := []struct {
		name, file, want string
		edit             func([]byte) []byte
	}{
		{"newer segment", segmentName(1), "newer than 1", newer},
		{"newer snapshot", snapshotName(2), "newer than 1", newer},
		{"newer identity", identityName, "newer than 1", func([]byte) []byte { return []byte(`{"Format":2}`) }},
		{"damaged identity", identityName, "damaged", func(d []byte) []byte { return bytes.Replace(d, []byte("7,"), []byte("8,"), 1) }},
		{"damaged snapshot", snapshotName(2), "damaged", func(d []byte) []byte { d[len(d)-1] ^= 1; return d }},
		{"no identity", identityName, "missing", nil},
		{"no segment", segmentName(1), "ended at 3", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			options := Options{NewIdentity: func() (uint64, error) { return 7, nil }}
			store, _, err := Open(folder, options)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := Open(folder, options); err == nil || !strings.Contains(err.Error(), "locked") {
				t.Fatalf("a second open of the folder: got %v", err)
			}
			entries := []*controlpb.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}}
			if err := store.Save(Batch{Entries: entries}); err != nil {
				t.Fatal(err)
			}
			if err := store.Compact(&controlpb.Snapshot{Index: 2, Term: 1, State: []byte("state")}); err != nil {
				t.Fatal(err)
			}
			store.Close()
			name := filepath.Join(folder, test.file)
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			os.Remove(name)
			if test.edit != nil {
				if err := os.WriteFile(name, test.edit(data), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if _, _, err := Open(folder, options); err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), folder) {
				t.Fatalf("got %v, want an error with %q and a path in %s", err, test.want, folder)
			}
		})
	}
}

// Compact must delete the segments and snapshots that the new snapshot covers, or the folder grows without bound.
func TestCompactDeletesCoveredFiles(t *testing.T) {
	fs := newFaultFS()
	store, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(1000) {
		if err := store.Save(Batch{Entries: []*controlpb.Entry{{Index: i + 1, Term: 1, Data: make([]byte, 50)}}}); err != nil {
			t.Fatal(err)
		}
		if (i+1)%100 == 0 {
			if err := store.Compact(&controlpb.Snapshot{Index: i + 1, Term: 1}); err != nil {
				t.Fatal(err)
			}
			if len(fs.files) > 4 {
				t.Fatalf("%d files after compaction at %d", len(fs.files), i+1)
			}
		}
	}
}

// FuzzRecord checks that decoding a record doesn't panic, and that a decoded record is the same after it is encoded and
// decoded again.
func FuzzRecord(f *testing.F) {
	valid, _ := appendRecord(nil, 3, &record{hardState: &controlpb.HardState{Term: 2}, entries: []*controlpb.Entry{{Index: 1}}})
	f.Add(valid[recordHeaderBytes:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		_, _, _ = readRecord(payload)
		r, err := decodeRecord(payload)
		if err != nil {
			return
		}
		data, err := appendRecord(nil, 9, r)
		if err != nil {
			t.Fatal(err)
		}
		again, sequence, err := readRecord(data)
		if err != nil || sequence != 9 {
			t.Fatalf("sequence %d, %v", sequence, err)
		}
		r2, err := decodeRecord(again)
		if err != nil || !proto.Equal(r.hardState, r2.hardState) || len(r.entries) != len(r2.entries) || r.baseIndex != r2.baseIndex {
			t.Fatalf("got %v, %v, want %v", r2, err, r)
		}
	})
}

// FuzzSnapshot checks that decoding a snapshot file doesn't panic, and that a decoded snapshot is the same after it is
// encoded and decoded again.
func FuzzSnapshot(f *testing.F) {
	valid, _ := encodeSnapshot(&controlpb.Snapshot{Index: 4, Term: 2, State: []byte("state")})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		snapshot, err := decodeSnapshot(data)
		if err != nil {
			return
		}
		again, err := encodeSnapshot(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := decodeSnapshot(again); err != nil || !proto.Equal(snapshot, second) {
			t.Fatalf("got %v, %v, want %v", second, err, snapshot)
		}
	})
}

// A crash while a folder is discarded must leave a folder that can be opened: either with all that it held, or empty with a
// new identity. Otherwise a controller that was removed from its group could never start again.
func TestInterruptedDiscard(t *testing.T) {
	for seed := range uint64(10) {
		script, models := randomScript(rand.New(rand.NewPCG(seed, 1)), 25)
		full := newFaultFS()
		runScript(t, full, script)
		random := rand.New(rand.NewPCG(seed, 2))
		for limit, complete := 0, false; !complete; limit++ {
			for _, kill := range []bool{false, true} {
				fs := full.afterCrash(random)
				fs.limit, fs.crash = limit, true
				discarded := Discard("data", Options{FS: fs}) == nil
				if kill { // the process is killed; unsynced changes stay visible
					fs.limit, fs.crash = -1, false
				} else {
					fs = fs.afterCrash(random)
				}
				description := fmt.Sprintf("seed %d, unit %d, kill %v", seed, limit, kill)
				store, recovered, err := Open("data", Options{FS: fs, NewIdentity: func() (uint64, error) { return 8, nil }})
				if err != nil {
					t.Fatalf("%s: %v", description, trace.DebugReport(err))
				}
				store.Close()
				kept := recovered.Identity == 7 && models[len(script)].equal(recovered)
				empty := recovered.Identity == 8 && !recovered.IsUsed()
				if !empty && (discarded || !kept) {
					t.Fatalf("%s: discarded %v, recovered %v", description, discarded, recovered)
				}
				if reopened, again, err := open(fs.afterCrash(random)); err != nil || again.Identity != recovered.Identity {
					t.Fatalf("%s: reopened: %v, %v", description, again, err)
				} else {
					reopened.Close()
				}
				complete = discarded
			}
		}
	}
}
