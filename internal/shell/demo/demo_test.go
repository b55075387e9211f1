package demo_test

import (
	"context"
	"io"
	"testing"

	"github.com/go-logr/logr"

	"galenamoor/internal/shell/demo"
)

// TestPromises runs the whole system with a zone taken out and back, an isolated leader and a planned stop. It guards
// against failures that occur only when the parts work together, such as calls lost after the isolation because the gateway
// isn't notified that the leader acknowledged its reports.
func TestPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	for _, folder := range []string{"ridewell", "tsagaan"} {
		t.Run(folder, func(t *testing.T) {
			t.Parallel()
			d, err := demo.New(demo.Options{Folder: "../../../examples/" + folder, Seed: 1, Out: io.Discard, Log: logr.Discard()})
			if err != nil {
				t.Fatal(err)
			}
			result, err := d.Run(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			for _, promise := range result.Promises {
				if promise.Broken > 0 {
					t.Errorf("%s: broken %d of %d times, first: %s", promise.Name, promise.Broken, promise.Checks, promise.First)
				}
				if promise.Checks == 0 {
					t.Errorf("%s: never checked", promise.Name)
				}
			}
			for _, calls := range result.Calls {
				if calls.Outcomes["answered"] == 0 {
					t.Errorf("phase %s: no call was answered: %v", calls.Phase, calls.Outcomes)
				}
			}
		})
	}
}
