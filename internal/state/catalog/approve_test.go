package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newPreapprovedCatalog(t *testing.T) *Catalog {
	t.Helper()

	state, err := New(GroupConfig{Cluster: [16]byte{1}, Generation: 1, Preapproved: true})
	is.New(t).NoErr(err)

	return state
}

func applyCommand(t *testing.T, state *Catalog, index uint64, command Command) Result {
	t.Helper()

	encoded, err := command.Encode(time.Unix(0, int64(index)))
	is.New(t).NoErr(err)

	return state.Apply(index, encoded)
}

func approveCommand(version uint64, text string) Command {
	return Command{Approve: &Approve{Version: version, Document: []byte(text)}}
}

func assertApproved(t *testing.T, state *Catalog, version uint64, text string) {
	t.Helper()

	is := is.New(t)
	current, document := state.Approved()
	is.Equal(current, version)
	is.Equal(string(document), text)
}

// TestApprove guards against an older document, or another one of the same
// version, replacing the one in force.
func TestApprove(t *testing.T) {
	state := newPreapprovedCatalog(t)

	for i, step := range []struct {
		version     uint64
		text        string
		wantVersion uint64
		wantText    string
	}{
		{3, "three", 3, "three"},
		{2, "two", 3, "three"},
		{3, "another three", 3, "three"},
		{9, "nine", 9, "nine"},
	} {
		result := applyCommand(t, state, uint64(i+1), approveCommand(step.version, step.text))
		is.New(t).NoErr(result.Err())
		is.New(t).Equal(result.Version, step.wantVersion)
		assertApproved(t, state, step.wantVersion, step.wantText)
	}

	is.New(t).Equal(len(state.Approvals()), 2)
}

// TestApproveRestore guards against a snapshot that loses the document.
func TestApproveRestore(t *testing.T) {
	is := is.New(t)
	state := newPreapprovedCatalog(t)
	applyCommand(t, state, 1, approveCommand(3, "three"))

	encoded, err := state.Snapshot()
	is.NoErr(err)

	restored := &Catalog{}
	is.NoErr(restored.Restore(encoded))
	assertApproved(t, restored, 3, "three")

	applyCommand(t, restored, 2, approveCommand(4, "four"))
	assertApproved(t, restored, 4, "four")
}

// TestApproveRequiresPreapproved guards against unsigned documents in a group with
// owners, and against signed ones in a group without owners.
func TestApproveRequiresPreapproved(t *testing.T) {
	is := is.New(t)
	state := newPreapprovedCatalog(t)

	result := applyCommand(t, state, 1, Command{Submit: &Submit{Environment: Trial}})
	is.Equal(result.Kind, KindOwner)

	owned := newCatalog(t)
	result = applyCommand(t, owned, owned.Index()+100, approveCommand(3, "three"))
	is.Equal(result.Kind, KindInvalid)
}
