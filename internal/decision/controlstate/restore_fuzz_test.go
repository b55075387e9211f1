package controlstate_test

import (
	"bytes"
	"testing"

	"galenamoor/internal/controlpb"
	"galenamoor/internal/decision/controlstate"
	"galenamoor/pkg/inventory"
)

// FuzzRestore checks that a corrupt snapshot neither panics nor is partially restored, and that a restored state survives
// another snapshot and restore unchanged.
func FuzzRestore(f *testing.F) {
	state := controlstate.New()
	listed := &inventory.Inventory{Region: "namib-west", Zones: []string{"swakop"}}
	state.Apply(1, &controlpb.Command{Time: 1, Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{
		RequestKey: "first", Inventory: listed.Text(), Rules: "[Rules]\nFormat = 1\n",
	}}})
	f.Add(state.Snapshot())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := controlstate.New()
		empty := restored.Snapshot()
		if err := restored.Restore(data); err != nil {
			if !bytes.Equal(restored.Snapshot(), empty) {
				t.Fatalf("a refused snapshot changed the state: %v", err)
			}
			return
		}
		first := restored.Snapshot()
		reread := controlstate.New()
		if err := reread.Restore(first); err != nil {
			t.Fatalf("a written snapshot is refused: %v", err)
		}
		if !bytes.Equal(reread.Snapshot(), first) {
			t.Fatal("a snapshot differs after reading it")
		}
	})
}
