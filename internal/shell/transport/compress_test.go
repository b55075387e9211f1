package transport

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// TestCompressedMessages checks that messages arrive complete, in order and unchanged while two concurrent senders share
// the compressor's buffer pools.
func TestCompressedMessages(t *testing.T) {
	a, b := newPair(t)
	b.SetPeers(2, []*controlpb.Member{{Id: 1, Address: a.Address().String()}})
	random := rand.New(rand.NewPCG(1, 1))
	var messages []*controlpb.ConsensusMessage
	for i := range 200 {
		data := bytes.Repeat([]byte(fmt.Sprint("worker-", i)), random.IntN(1<<uint(random.IntN(14))))
		messages = append(messages, &controlpb.ConsensusMessage{Index: uint64(i), Entries: []*controlpb.Entry{{Data: data}}})
	}
	for _, m := range messages {
		toB, toA := proto.CloneOf(m), proto.CloneOf(m)
		toB.To, toA.To = 2, 1
		a.Send(toB)
		b.Send(toA)
	}
	for i, m := range messages {
		for _, d := range []*testDaemon{a, b} {
			got := <-d.delivered
			got.To = 0
			if !proto.Equal(got, m) {
				t.Fatalf("message %d to %s changed in transit: got %d bytes, sent %d", i, d.options.Host, proto.Size(got), proto.Size(m))
			}
		}
	}
}

// TestCompressor checks that messages are compressed only from the threshold on, and that unknown encodings and truncated
// messages are rejected.
func TestCompressor(t *testing.T) {
	c := &compressor{}
	for _, length := range []int{0, 1, compressionThreshold - 1, compressionThreshold, 1 << 20} {
		message := bytes.Repeat([]byte{7}, length)
		var encoded bytes.Buffer
		w, err := c.Compress(&encoded)
		if err == nil {
			_, err = w.Write(message)
		}
		if err != nil || w.Close() != nil {
			t.Fatalf("compress %d bytes: %v", length, err)
		}
		if shorter := encoded.Len() < length; shorter != (length >= compressionThreshold) {
			t.Errorf("message of %d bytes encoded as %d bytes", length, encoded.Len())
		}
		complete := encoded.Bytes()
		r, err := c.Decompress(bytes.NewReader(complete))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, message) {
			t.Errorf("message of %d bytes decoded as %d bytes, error %v", length, len(got), err)
		}
		if length < compressionThreshold {
			continue
		}
		r, err = c.Decompress(bytes.NewReader(complete[:len(complete)-1]))
		if err != nil {
			continue
		}
		if got, err := io.ReadAll(r); err == nil {
			t.Errorf("truncated message of %d bytes decoded as %d bytes without an error", length, len(got))
		}
	}
	for _, invalid := range [][]byte{nil, {2, 0}} {
		if _, err := c.Decompress(bytes.NewReader(invalid)); err == nil {
			t.Errorf("invalid message %v accepted", invalid)
		}
	}
}
