package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func preapproved(t *testing.T) *Catalog {
	t.Helper()

	state, err := New(Founding{Cluster: [16]byte{1}, Generation: 1, Preapproved: true})
	is.New(t).NoErr(err)

	return state
}

func applyCommand(t *testing.T, state *Catalog, index uint64, command Command) Result {
	t.Helper()

	encoded, err := command.Encode(time.Unix(0, int64(index)))
	is.New(t).NoErr(err)

	return state.Apply(index, encoded)
}

func approval(version uint64, text string) Command {
	return Command{Approve: &Approve{Version: version, Document: []byte(text)}}
}

func assertApproved(t *testing.T, state *Catalog, version uint64, text string) {
	t.Helper()

	is := is.New(t)
	held, document := state.Approved()
	is.Equal(held, version)
	is.Equal(string(document), text)
}

// TestApprove guards against an older document, or another one of the same
// version, that replaces the one in force.
func TestApprove(t *testing.T) {
	state := preapproved(t)

	for i, step := range []struct {
		version uint64
		text    string
		held    uint64
		want    string
	}{
		{3, "three", 3, "three"},
		{2, "two", 3, "three"},
		{3, "another three", 3, "three"},
		{9, "nine", 9, "nine"},
	} {
		result := applyCommand(t, state, uint64(i+1), approval(step.version, step.text))
		is.New(t).NoErr(result.Err())
		is.New(t).Equal(result.Version, step.held)
		assertApproved(t, state, step.held, step.want)
	}

	is.New(t).Equal(len(state.Approvals()), 2)
}

// TestApproveRestore guards against a snapshot that loses the document.
func TestApproveRestore(t *testing.T) {
	is := is.New(t)
	state := preapproved(t)
	applyCommand(t, state, 1, approval(3, "three"))

	encoded, err := state.Snapshot()
	is.NoErr(err)

	restored := &Catalog{}
	is.NoErr(restored.Restore(encoded))
	assertApproved(t, restored, 3, "three")

	applyCommand(t, restored, 2, approval(4, "four"))
	assertApproved(t, restored, 4, "four")
}

// TestApproveNeedsFounding guards against documents without signatures in a
// group of two owners, and against signatures in a group without.
func TestApproveNeedsFounding(t *testing.T) {
	is := is.New(t)
	state := preapproved(t)

	result := applyCommand(t, state, 1, Command{Submit: &Submit{Environment: Trial}})
	is.Equal(result.Kind, KindOwner)

	owned := founded(t)
	result = applyCommand(t, owned, owned.Index()+100, approval(3, "three"))
	is.Equal(result.Kind, KindInvalid)
}
