package capacity

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// Flow identifies a kind of message between two daemon roles.
type Flow struct{ Kind, From, To string }

// Count holds the number of messages of a flow and their bytes.
type Count struct {
	Messages     int
	EncodedBytes int // encoded, before compression
	SocketBytes  int // on the socket: compressed and framed
}

// Bytes that gRPC adds to a message in one direction, as seen on sockets in BenchmarkFraming and BenchmarkStream. The byte
// that flags the message as compressed is not included.
const (
	streamFraming  = 14
	requestFraming = 32
	replyFraming   = 37
)

// Meter counts the messages between daemons.
type Meter struct {
	Flows     map[Flow]Count
	Entries   map[string]Count // log entries by kind of command, each counted once, not once per receiver
	lastIndex uint64           // index of the last counted entry
}

func newMeter() *Meter {
	return &Meter{Flows: map[Flow]Count{}, Entries: map[string]Count{}}
}

// Reset sets all counts to zero.
func (m *Meter) Reset() {
	clear(m.Flows)
	clear(m.Entries)
}

// Sorted returns the flows by socket bytes, largest first.
func (m *Meter) Sorted() []Flow {
	return slices.SortedFunc(maps.Keys(m.Flows), func(a, b Flow) int { return m.Flows[b].SocketBytes - m.Flows[a].SocketBytes })
}

func (m *Meter) addMessage(flow Flow, message encodedMessage, framing int) {
	c := m.Flows[flow]
	m.Flows[flow] = Count{c.Messages + 1, c.EncodedBytes + message.size, c.SocketBytes + len(message.compressed) + framing}
}

func (m *Meter) addForwarded(from, to, kind string, message encodedMessage, framing int) {
	m.addMessage(Flow{kind, from, to}, message, framing)
}

func (m *Meter) addConsensus(from, to string, message *controlpb.ConsensusMessage, encoded encodedMessage) {
	kind := message.GetType().String()
	if message.GetType() == controlpb.MessageType_APPEND && len(message.GetEntries()) == 0 {
		kind = "HEARTBEAT"
	}
	m.addMessage(Flow{kind, from, to}, encoded, streamFraming)
	for _, entry := range message.GetEntries() {
		if entry.GetIndex() <= m.lastIndex {
			continue
		}
		m.lastIndex = entry.GetIndex()
		command := &controlpb.Command{}
		if entry.GetType() == controlpb.EntryType_COMMAND && proto.Unmarshal(entry.GetData(), command) == nil {
			m.addEntry(command)
		}
	}
}

func (m *Meter) addEntry(command *controlpb.Command) {
	for _, inner := range command.GetBatch().GetCommands() {
		m.addEntry(inner)
	}
	kind := command.ProtoReflect().WhichOneof(command.ProtoReflect().Descriptor().Oneofs().Get(0))
	if kind == nil || command.GetBatch() != nil {
		return
	}
	c := m.Entries[string(kind.Name())]
	m.Entries[string(kind.Name())] = Count{Messages: c.Messages + 1, EncodedBytes: c.EncodedBytes + proto.Size(command)}
}
