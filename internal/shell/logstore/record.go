package logstore

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

const (
	segmentMagic  = "GALENALG"
	snapshotMagic = "GALENASN"
	// fileHeaderBytes is the length of a file header: magic, format version, number (the sequence number of a
	// segment's first record, or the log index of a snapshot) and checksum.
	fileHeaderBytes = 8 + 4 + 8 + 8
	// recordHeaderBytes is the length of a record header: payload length, sequence number and checksum.
	recordHeaderBytes = 4 + 8 + 8
	// maxRecordBytes is the largest payload of a record or snapshot. It bounds the allocation that a damaged length
	// field can cause.
	maxRecordBytes = 1 << 30
)

// Protobuf field numbers of a record's payload. Numbers are never reused.
const (
	fieldHardState = 1
	fieldEntry     = 2
	fieldBaseIndex = 3 // log index after which the log restarts; all earlier entries are discarded
	fieldLastIndex = 4 // last log index before this record; written at the start of a segment
)

// errDamaged is returned for bytes that aren't a complete header or record with a correct checksum.
var errDamaged = errors.New("incomplete or damaged record")

// record is the decoded payload of one record.
type record struct {
	hardState    *controlpb.HardState
	entries      []*controlpb.Entry
	baseIndex    uint64
	hasBaseIndex bool
	lastIndex    uint64
	hasLastIndex bool
}

// appendRecord appends the encoding of r, including its header, to buffer.
func appendRecord(buffer []byte, sequence uint64, r *record) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, recordHeaderBytes)...)
	var err error
	if r.hasBaseIndex {
		buffer = protowire.AppendTag(buffer, fieldBaseIndex, protowire.VarintType)
		buffer = protowire.AppendVarint(buffer, r.baseIndex)
	}
	if r.hasLastIndex {
		buffer = protowire.AppendTag(buffer, fieldLastIndex, protowire.VarintType)
		buffer = protowire.AppendVarint(buffer, r.lastIndex)
	}
	if r.hardState != nil {
		if buffer, err = appendMessage(buffer, fieldHardState, r.hardState); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	for _, entry := range r.entries {
		if buffer, err = appendMessage(buffer, fieldEntry, entry); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	payload := buffer[start+recordHeaderBytes:]
	if len(payload) > maxRecordBytes {
		return nil, trace.LimitExceeded("record of %d bytes exceeds the limit of %d bytes", len(payload), maxRecordBytes)
	}
	header := buffer[start:]
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], sequence)
	binary.LittleEndian.PutUint64(header[12:], recordChecksum(header[:12], payload))
	return buffer, nil
}

func appendMessage(buffer []byte, field protowire.Number, message proto.Message) ([]byte, error) {
	buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
	buffer = protowire.AppendVarint(buffer, uint64(proto.Size(message)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, message)
}

func recordChecksum(header, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(header)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// readRecord checks the record at the start of data and returns its payload and sequence number.
func readRecord(data []byte) (payload []byte, sequence uint64, err error) {
	if len(data) < recordHeaderBytes {
		return nil, 0, errDamaged
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || length > uint64(len(data)-recordHeaderBytes) {
		return nil, 0, errDamaged
	}
	payload = data[recordHeaderBytes : recordHeaderBytes+length]
	if recordChecksum(data[:12], payload) != binary.LittleEndian.Uint64(data[12:]) {
		return nil, 0, errDamaged
	}
	return payload, binary.LittleEndian.Uint64(data[4:]), nil
}

// decodeRecord decodes a payload whose checksum was correct, so an error isn't caused by a torn write.
func decodeRecord(payload []byte) (*record, error) {
	r := &record{}
	for len(payload) > 0 {
		field, kind, n := protowire.ConsumeTag(payload)
		if n < 0 {
			return nil, trace.Wrap(protowire.ParseError(n))
		}
		payload = payload[n:]
		if kind == protowire.VarintType && (field == fieldBaseIndex || field == fieldLastIndex) {
			index, n := protowire.ConsumeVarint(payload)
			if n < 0 {
				return nil, trace.Wrap(protowire.ParseError(n))
			}
			r.decodeIndex(field, index)
			payload = payload[n:]
			continue
		}
		if kind != protowire.BytesType || (field != fieldHardState && field != fieldEntry) {
			return nil, trace.BadParameter("unknown field %d of wire type %d", field, kind)
		}
		value, n := protowire.ConsumeBytes(payload)
		if n < 0 {
			return nil, trace.Wrap(protowire.ParseError(n))
		}
		payload = payload[n:]
		if err := r.decodeMessage(field, value); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return r, nil
}

func (r *record) decodeIndex(field protowire.Number, index uint64) {
	if field == fieldBaseIndex {
		r.baseIndex, r.hasBaseIndex = index, true
		return
	}
	r.lastIndex, r.hasLastIndex = index, true
}

func (r *record) decodeMessage(field protowire.Number, value []byte) error {
	if field == fieldHardState {
		r.hardState = &controlpb.HardState{}
		return proto.Unmarshal(value, r.hardState)
	}
	entry := &controlpb.Entry{}
	if err := proto.Unmarshal(value, entry); err != nil {
		return err
	}
	r.entries = append(r.entries, entry)
	return nil
}

// fileHeader encodes the header of a segment or snapshot file. number is the sequence number of the segment's first
// record, or the snapshot's log index.
func fileHeader(magic string, number uint64) []byte {
	header := make([]byte, 0, fileHeaderBytes)
	header = append(header, magic...)
	header = binary.LittleEndian.AppendUint32(header, Format)
	header = binary.LittleEndian.AppendUint64(header, number)
	return binary.LittleEndian.AppendUint64(header, xxhash.Sum64(header))
}

// readFileHeader checks a file header and returns its number. It returns errDamaged if the header is incomplete or
// its checksum is wrong, and an error with both format versions if the file's format is newer than Format.
func readFileHeader(data []byte, magic string) (number uint64, err error) {
	if len(data) < fileHeaderBytes || string(data[:8]) != magic {
		return 0, errDamaged
	}
	if xxhash.Sum64(data[:20]) != binary.LittleEndian.Uint64(data[20:]) {
		return 0, errDamaged
	}
	if format := binary.LittleEndian.Uint32(data[8:]); format > Format {
		return 0, newerFormatError(uint64(format))
	}
	return binary.LittleEndian.Uint64(data[12:]), nil
}

// newerFormatError returns the error for a file written by a later release.
func newerFormatError(format uint64) error {
	return trace.NotImplemented("format version %d is newer than %d, the newest this program reads", format, Format)
}

// encodeSnapshot returns the contents of a snapshot file.
func encodeSnapshot(snapshot *controlpb.Snapshot) ([]byte, error) {
	buffer := fileHeader(snapshotMagic, snapshot.GetIndex())
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(payload) > maxRecordBytes {
		return nil, trace.LimitExceeded("snapshot of %d bytes exceeds the limit of %d bytes", len(payload), maxRecordBytes)
	}
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, xxhash.Sum64(payload))
	return append(buffer, payload...), nil
}

// decodeSnapshot checks and decodes the contents of a snapshot file.
func decodeSnapshot(data []byte) (*controlpb.Snapshot, error) {
	index, err := readFileHeader(data, snapshotMagic)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data = data[fileHeaderBytes:]
	if len(data) < 12 {
		return nil, trace.Wrap(errDamaged)
	}
	length, sum, payload := binary.LittleEndian.Uint32(data), binary.LittleEndian.Uint64(data[4:]), data[12:]
	if uint64(length) != uint64(len(payload)) || xxhash.Sum64(payload) != sum {
		return nil, trace.Wrap(errDamaged)
	}
	snapshot := &controlpb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, trace.Wrap(err)
	}
	if snapshot.GetIndex() != index {
		return nil, trace.BadParameter("header has index %d, contents have index %d", index, snapshot.GetIndex())
	}
	return snapshot, nil
}
