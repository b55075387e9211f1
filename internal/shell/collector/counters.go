package collector

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/gravitational/trace"

	"galenamoor/internal/decision/burn"
)

// formatVersion is the only supported version of the format in which counters are stored and sent.
const formatVersion = 1

// fileName is the name of the file with the counters in the data folder.
const fileName = "burn.json.gz"

// maxDecodedBytes bounds the size of decompressed counters in bytes. Three days of 20 services in 6 zones take about 8 MB.
const maxDecodedBytes = 64 << 20

// counters holds the samples of one host up to a time.
type counters struct {
	Format  int
	Host    string
	Until   time.Time
	Samples []burn.Sample
}

// mergeOlder returns the counters with the samples that only the older ones have, because a daemon without a data folder
// loses its samples when it restarts. For the same minute, the newer sample takes precedence.
func (c *counters) mergeOlder(older *counters) *counters {
	if older == nil {
		return c
	}
	ledger := burn.New()
	for _, s := range older.Samples {
		ledger.Put(s)
	}
	for _, s := range c.Samples {
		ledger.Put(s)
	}
	ledger.Compact(c.Until)
	return &counters{Format: c.Format, Host: c.Host, Until: c.Until, Samples: ledger.Samples()}
}

// storedCounters is the content of the counters file.
type storedCounters struct {
	Format int
	Own    []burn.Sample
	Copies map[string]*counters
}

// encodeGzipJSON encodes the value as gzipped JSON.
func encodeGzipJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		return nil, trace.Wrap(err, "encode counters")
	}
	if err := writer.Close(); err != nil {
		return nil, trace.Wrap(err, "encode counters")
	}
	return buffer.Bytes(), nil
}

// decodeGzipJSON decodes gzipped JSON of at most maxDecodedBytes into the value.
func decodeGzipJSON(data []byte, value any) error {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return trace.BadParameter("decompress counters: %v", err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes)).Decode(value); err != nil {
		return trace.BadParameter("decode counters: %v", err)
	}
	return nil
}

// decodeCounters decodes the counters of another daemon.
func decodeCounters(data []byte) (*counters, error) {
	c := &counters{}
	if err := decodeGzipJSON(data, c); err != nil {
		return nil, err
	}
	if c.Format != formatVersion {
		return nil, trace.BadParameter("counters have format %d, expected %d", c.Format, formatVersion)
	}
	return c, nil
}

func (c *Collector) load() error {
	if c.config.DataFolder == "" {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(c.config.DataFolder, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s := &storedCounters{}
	if err := decodeGzipJSON(data, s); err != nil {
		return err
	}
	if s.Format != formatVersion {
		return trace.BadParameter("counters have format %d, expected %d", s.Format, formatVersion)
	}
	c.own.Merge(s.Own)
	for host, copied := range s.Copies {
		c.copies[host] = copied
	}
	return nil
}

func (c *Collector) save() error {
	if c.config.DataFolder == "" {
		return nil
	}
	c.mu.Lock()
	data, err := encodeGzipJSON(&storedCounters{Format: formatVersion, Own: c.own.Samples(), Copies: c.copies})
	c.mu.Unlock()
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(renameio.WriteFile(filepath.Join(c.config.DataFolder, fileName), data, 0o644))
}
