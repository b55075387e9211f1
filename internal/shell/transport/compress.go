package transport

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/encoding"
)

const (
	// compressionName is the grpc-encoding used between daemons.
	compressionName = "galenamoor-flate"

	// compressionThreshold is the minimum size of a compressed message, in bytes. Below it, compressing heartbeats and
	// single entries saves little and costs CPU time at every peer.
	compressionThreshold = 512
)

// The first byte of an encoded message is the encoding of the rest.
const (
	encodingIdentity byte = iota
	encodingDeflate
)

func init() { encoding.RegisterCompressor(&compressor{}) }

// compressor implements encoding.Compressor. It compresses long messages and leaves short ones as they are. It uses the
// fastest DEFLATE level, because inventories, slot reports and usage reports repeat names, which any level compresses.
type compressor struct {
	buffers, writers, readers sync.Pool
}

// Name implements encoding.Compressor.
func (c *compressor) Name() string { return compressionName }

// Compress implements encoding.Compressor.
func (c *compressor) Compress(w io.Writer) (io.WriteCloser, error) {
	buffer, ok := c.buffers.Get().(*bytes.Buffer)
	if !ok {
		buffer = &bytes.Buffer{}
	}
	buffer.Reset()
	return &messageWriter{compressor: c, to: w, buffer: buffer}, nil
}

// Decompress implements encoding.Compressor.
func (c *compressor) Decompress(r io.Reader) (io.Reader, error) {
	var encodingByte [1]byte
	if _, err := io.ReadFull(r, encodingByte[:]); err != nil {
		return nil, trace.Wrap(err, "read message encoding")
	}
	switch encodingByte[0] {
	case encodingIdentity:
		return r, nil
	case encodingDeflate:
		return c.newReader(r)
	}
	return nil, trace.BadParameter("message encoding is %d, expected %d or %d", encodingByte[0], encodingIdentity, encodingDeflate)
}

func (c *compressor) newReader(r io.Reader) (io.Reader, error) {
	reader, ok := c.readers.Get().(io.ReadCloser)
	if !ok {
		return &messageReader{ReadCloser: flate.NewReader(r), compressor: c}, nil
	}
	if err := reader.(flate.Resetter).Reset(r, nil); err != nil {
		return nil, trace.Wrap(err)
	}
	return &messageReader{ReadCloser: reader, compressor: c}, nil
}

// messageReader returns its flate reader to the pool when gRPC closes it.
type messageReader struct {
	io.ReadCloser
	compressor *compressor
}

func (r *messageReader) Close() error {
	err := r.ReadCloser.Close()
	r.compressor.readers.Put(r.ReadCloser)
	return err
}

// messageWriter buffers a message until it is closed, because the encoding depends on the message's length.
type messageWriter struct {
	compressor *compressor
	to         io.Writer
	buffer     *bytes.Buffer
}

func (w *messageWriter) Write(data []byte) (int, error) { return w.buffer.Write(data) }

func (w *messageWriter) Close() error {
	defer w.compressor.buffers.Put(w.buffer)
	if w.buffer.Len() < compressionThreshold {
		return w.write(encodingIdentity, w.to)
	}
	writer, ok := w.compressor.writers.Get().(*flate.Writer)
	if !ok {
		writer, _ = flate.NewWriter(nil, flate.BestSpeed) // fails only for an invalid level
	}
	defer w.compressor.writers.Put(writer)
	writer.Reset(w.to)
	if err := w.write(encodingDeflate, writer); err != nil {
		return err
	}
	return trace.Wrap(writer.Close())
}

// write writes the encoding byte to the output, and the buffered message to the given writer.
func (w *messageWriter) write(encodingByte byte, message io.Writer) error {
	if _, err := w.to.Write([]byte{encodingByte}); err != nil {
		return trace.Wrap(err)
	}
	_, err := message.Write(w.buffer.Bytes())
	return trace.Wrap(err)
}
