package logstore

import (
	"fmt"
	"testing"

	"galenamoor/internal/controlpb"
)

// entryBytes is the size of a typical command, such as the start of a task.
const entryBytes = 120

func batchAt(index uint64, size int) Batch {
	var batch Batch
	for range size {
		batch.Entries = append(batch.Entries, &controlpb.Entry{Index: index, Term: 1, Data: make([]byte, entryBytes)})
		index++
	}
	return batch
}

// BenchmarkRestart measures Open of a folder without a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, count := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			folder := b.TempDir()
			store, _, err := Open(folder, Options{})
			if err != nil {
				b.Fatal(err)
			}
			for index := 1; index <= count; index += 100 {
				if err := store.Save(batchAt(uint64(index), 100)); err != nil {
					b.Fatal(err)
				}
			}
			store.Close()
			for b.Loop() {
				store, recovered, err := Open(folder, Options{})
				if err != nil || len(recovered.Entries) != count {
					b.Fatalf("%d entries, %v", len(recovered.Entries), err)
				}
				store.Close()
			}
		})
	}
}

// BenchmarkSave measures the appending and syncing of batches.
func BenchmarkSave(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			store, _, err := Open(b.TempDir(), Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer store.Close()
			index := uint64(1)
			for b.Loop() {
				if err := store.Save(batchAt(index, size)); err != nil {
					b.Fatal(err)
				}
				index += uint64(size)
			}
			b.ReportMetric(float64(index-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
