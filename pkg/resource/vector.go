// Package resource represents amounts of processors, memory and accelerators. Quantities are integers, so that sums are
// exact.
package resource

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// MaxQuantity bounds each component of a Vector, so that sums over 2^20 of them cannot overflow.
const MaxQuantity = int64(1) << 42

// Vector is an amount of processors, memory and accelerators.
type Vector struct {
	Processors   int64 // milli-cores
	Memory       int64 // MiB
	Accelerators int64 // whole devices
}

// Add returns v plus w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.Processors + w.Processors, v.Memory + w.Memory, v.Accelerators + w.Accelerators}
}

// Sub returns v minus w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.Processors - w.Processors, v.Memory - w.Memory, v.Accelerators - w.Accelerators}
}

// Fits reports whether v is at most w in every component.
func (v Vector) Fits(w Vector) bool {
	return v.Processors <= w.Processors && v.Memory <= w.Memory && v.Accelerators <= w.Accelerators
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool {
	return v == Vector{}
}

// Validate returns an error when a component is negative or above MaxQuantity.
func (v Vector) Validate() error {
	for _, q := range []int64{v.Processors, v.Memory, v.Accelerators} {
		if q < 0 || q > MaxQuantity {
			return trace.BadParameter("resource quantity %d: expected 0 to %d", q, MaxQuantity)
		}
	}
	return nil
}

// String formats v as in "4 cores, 8GB, 1 accelerators".
func (v Vector) String() string {
	return fmt.Sprintf("%s cores, %s, %d accelerators", FormatProcessors(v.Processors), FormatMemory(v.Memory), v.Accelerators)
}

// ParseProcessors reads a number of cores such as "64" or "0.5", or milli-cores such as "500m", and returns milli-cores.
func ParseProcessors(s string) (int64, error) {
	if milli, ok := strings.CutSuffix(s, "m"); ok {
		return parseQuantity(milli, 1, s, "cores such as 64, 0.5 or 500m")
	}
	whole, fraction, _ := strings.Cut(s, ".")
	if len(fraction) > 3 {
		return 0, trace.BadParameter("%q: expected at most three decimals of a core", s)
	}
	for len(fraction) < 3 {
		fraction += "0"
	}
	return parseQuantity(whole+fraction, 1, s, "cores such as 64, 0.5 or 500m")
}

// FormatProcessors writes milli-cores in the form that ParseProcessors reads.
func FormatProcessors(milli int64) string {
	if milli%1000 == 0 {
		return strconv.FormatInt(milli/1000, 10)
	}
	return strconv.FormatInt(milli, 10) + "m"
}

// memoryUnits are the units of memory in MiB, largest first. GB is read as GiB, which is what asset registers mean by it.
var memoryUnits = []struct {
	suffix string
	size   int64
}{{"TiB", 1 << 20}, {"GiB", 1 << 10}, {"MiB", 1}, {"TB", 1 << 20}, {"GB", 1 << 10}, {"MB", 1}}

// ParseMemory reads an amount of memory such as "250GB" or "512MiB" and returns MiB.
func ParseMemory(s string) (int64, error) {
	const expected = "memory with a unit such as 250GB or 512MiB"
	for _, unit := range memoryUnits {
		if number, ok := strings.CutSuffix(s, unit.suffix); ok {
			return parseQuantity(strings.TrimSpace(number), unit.size, s, expected)
		}
	}
	return 0, trace.BadParameter("%q: expected %s", s, expected)
}

// FormatMemory writes MiB in the form that ParseMemory reads.
func FormatMemory(mib int64) string {
	if mib%1024 == 0 {
		return strconv.FormatInt(mib/1024, 10) + "GB"
	}
	return strconv.FormatInt(mib, 10) + "MB"
}

// parseQuantity parses a number of units and multiplies it by the size of the unit. Its errors quote text and say what was
// expected.
func parseQuantity(number string, unit int64, text, expected string) (int64, error) {
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n < 0 || n > MaxQuantity/unit {
		return 0, trace.BadParameter("%q: expected %s", text, expected)
	}
	return n * unit, nil
}
