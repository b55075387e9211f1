package jobspec

import (
	"math"
	"strings"
	"testing"

	"galenamoor/internal/controlpb"
)

// TestHasTooManyTasks guards against products and sums that overflow: a job of 2^64 tasks passed as one of a few.
func TestHasTooManyTasks(t *testing.T) {
	for _, test := range []struct {
		repeats  uint32
		counts   []uint32
		expected bool
	}{
		{0, []uint32{1}, false},
		{0, []uint32{MaxTasks}, false},
		{1, []uint32{MaxTasks - 1, 1}, false},
		{0, []uint32{MaxTasks, 1}, true},
		{MaxTasks, []uint32{1}, false},
		{MaxTasks, []uint32{1, 1}, true},
		{1 << 31, []uint32{1 << 31}, true},
		{math.MaxUint32, []uint32{math.MaxUint32}, true},
		{math.MaxUint32, []uint32{math.MaxUint32, 1, math.MaxUint32}, true},
		{2, []uint32{1 << 31, 1 << 31}, true},
	} {
		job := &controlpb.WorkJob{Repeats: test.repeats}
		for _, count := range test.counts {
			job.Steps = append(job.Steps, &controlpb.WorkStep{Count: count})
		}
		if got := HasTooManyTasks(job); got != test.expected {
			t.Errorf("steps of %v tasks, %d times: too many: %v, expected %v", test.counts, test.repeats, got, test.expected)
		}
	}
}

// TestIsID guards against IDs from which the names of tasks can't be decoded, or that break paths and log lines.
func TestIsID(t *testing.T) {
	for _, id := range []string{"5c0e7a21d94b36f8", "a-B_9", strings.Repeat("x", MaxID)} {
		if !IsID(id) {
			t.Errorf("%q is refused", id)
		}
	}
	for _, id := range []string{"", "a.b", "a/b", "/", ".", "a b", "a\n", "a\x00", "ü", strings.Repeat("x", MaxID+1), strings.Repeat("x", 4096)} {
		if IsID(id) {
			t.Errorf("%q is accepted", id)
		}
	}
}
