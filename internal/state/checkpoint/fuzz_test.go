package checkpoint_test

import (
	"testing"

	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
)

// FuzzRestore guards against stored or received checkpoints that crash an agent or a
// controller, or that restore more flows than they contain.
func FuzzRestore(f *testing.F) {
	key := flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 1},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 2},
	}
	batch := checkpoint.Batch{
		Agent: key.Client, BackendStart: 5, Epoch: 6, To: 2,
		Opened: []checkpoint.Flow{{Key: key, Acknowledged: 9}}, Closed: []flow.Key{key},
	}

	f.Add([]byte{})
	f.Add(batch.Append(nil))
	f.Add(batch.Append(batch.Append(nil)))

	f.Fuzz(func(t *testing.T, encoded []byte) {
		restored, err := checkpoint.Restore(encoded)
		if err == nil && len(restored.Flows)*flow.KeyBytes > len(encoded) {
			t.Errorf("%d flows from %d bytes", len(restored.Flows), len(encoded))
		}
	})
}
