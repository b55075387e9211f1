// Package jobspec holds the ranges of what a caller may specify of a job. They keep sums and products of accepted numbers within what is
// computed with them, and the memory of a job bounded. docs/LIMITS.md lists them.
package jobspec

import (
	"strings"
	"time"

	"galenamoor/internal/controlpb"
)

const (
	// MaxTasks bounds the tasks of a job, summed over all its occurrences.
	MaxTasks = 20_000

	// MaxNeed bounds what a task needs of each resource: milli-cores, MB or accelerators.
	MaxNeed = 1_000_000_000

	// MaxSpecification is the longest text that is handed to the tasks, in bytes.
	MaxSpecification = 16 << 10

	// MaxName is the longest label, rack or image, in bytes.
	MaxName = 256

	// MaxID is the longest ID, in bytes.
	MaxID = 64

	// MaxDuration bounds estimates, latency targets and the period of a scheduled job.
	MaxDuration = 10 * 365 * 24 * time.Hour
)

// LatestStart is the latest time at which an occurrence may be due.
var LatestStart = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)

// idCharacters are the characters of IDs. Names of tasks consist of an ID and numbers, separated by dots, and are part of paths and log lines.
const idCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"

// IsID reports whether a text can be the ID of a job.
func IsID(id string) bool {
	return id != "" && len(id) <= MaxID && strings.Trim(id, idCharacters) == ""
}

// HasTooManyTasks reports whether a job has more than MaxTasks tasks, for any values of its numbers.
func HasTooManyTasks(job *controlpb.WorkJob) bool {
	ofOccurrence := uint64(0)
	for _, step := range job.GetSteps() {
		if ofOccurrence += uint64(step.GetCount()); ofOccurrence > MaxTasks {
			return true
		}
	}
	return ofOccurrence*uint64(max(1, job.GetRepeats())) > MaxTasks
}
