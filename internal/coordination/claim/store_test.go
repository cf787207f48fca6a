package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/claim"
)

var (
	start           = time.Unix(1000, 0)
	key             = claim.Key{Service: 1, Token: "report-1"}
	firstExecution  = claim.Execution{Agent: 1, Sequence: 1}
	secondExecution = claim.Execution{Agent: 2, Sequence: 1}
)

// holder is a store that answers for seat 9.
type holder struct {
	*claim.Store
	is *is.I
}

func newHolder(t *testing.T, capacity int) *holder {
	t.Helper()

	return &holder{Store: claim.NewStore(9, retention, maxUnconfirmed, capacity), is: is.New(t)}
}

// expect sends a request to seat 9 and compares the status.
func (h *holder) expect(now time.Time, verb claim.Verb, execution claim.Execution, want claim.Status) claim.Reply {
	h.is.Helper()

	request := claim.Request{Verb: verb, Seat: 9, Key: key, Execution: execution}
	if verb == claim.Complete {
		request.Answer = claim.NewAnswer([]byte("done"))
	}

	reply := h.Handle(now, request)
	h.is.Equal(reply.Status, want)

	return reply
}

// TestGrant guards against a seat that grants a key twice.
func TestGrant(t *testing.T) {
	h := newHolder(t, 10)
	h.expect(start, claim.Lookup, firstExecution, claim.Free)
	h.expect(start, claim.Grant, firstExecution, claim.Granted)
	h.expect(start, claim.Grant, firstExecution, claim.Granted) // a duplicate
	h.is.Equal(h.expect(start, claim.Grant, secondExecution, claim.Held).Owner, firstExecution)
	h.expect(start, claim.Release, secondExecution, claim.Held) // frees nothing
	h.expect(start, claim.Complete, firstExecution, claim.Completed)

	reply := h.expect(start, claim.Grant, secondExecution, claim.Completed)
	h.is.Equal(reply.Owner, firstExecution)
	h.is.Equal(string(reply.Answer.Body), "done")
}

// TestTombstone guards against a Grant that arrives after its Release and
// would block the key for the whole retention.
func TestTombstone(t *testing.T) {
	h := newHolder(t, 10)
	h.expect(start, claim.Release, firstExecution, claim.Released)
	h.expect(start, claim.Grant, firstExecution, claim.Released)
	h.expect(start, claim.Grant, secondExecution, claim.Granted)
}

// TestRetention guards against claims that are dropped early or never, and
// against a clock that steps back.
func TestRetention(t *testing.T) {
	h := newHolder(t, 10)
	h.expect(start, claim.Grant, firstExecution, claim.Granted)
	h.expect(start.Add(retention+claim.HandOverLimit-1), claim.Grant, secondExecution, claim.Held)
	h.expect(start, claim.Grant, secondExecution, claim.Held)
	h.expect(start.Add(retention+claim.HandOverLimit), claim.Lookup, secondExecution, claim.Free)
	h.is.Equal(h.Len(), 0)
}

// TestCapacity guards against unbounded memory, and against a claim that is
// dropped to make room for another, with thousands of keys.
func TestCapacity(t *testing.T) {
	const capacity = 5000

	h := newHolder(t, capacity)
	statuses := make(map[claim.Status]int)

	for i := range 3 * capacity {
		request := claim.Request{Verb: claim.Grant, Seat: 9, Key: claim.Key{Token: fmt.Sprint(i)}, Execution: firstExecution}
		statuses[h.Handle(start.Add(time.Duration(i)), request).Status]++
	}

	h.is.Equal(statuses[claim.Granted], capacity)
	h.is.Equal(statuses[claim.Full], 2*capacity)
	h.is.Equal(h.Len(), capacity)

	oldest := claim.Request{Verb: claim.Grant, Seat: 9, Key: claim.Key{Token: "0"}, Execution: secondExecution}
	h.is.Equal(h.Handle(start, oldest).Status, claim.Held)
}

// TestMove guards against claims that are lost or held twice when a seat moves.
func TestMove(t *testing.T) {
	from, to := newHolder(t, 10), &holder{Store: claim.NewStore(8, retention, maxUnconfirmed, 10), is: is.New(t)}
	from.expect(start, claim.Grant, firstExecution, claim.Granted)
	to.expect(start, claim.Grant, secondExecution, claim.NotHolder)

	transfer, err := from.Export(start.Add(time.Second), 9, 8)
	from.is.NoErr(err)
	from.is.Equal(from.expect(start, claim.Grant, secondExecution, claim.Moved).Successor, to.Seats()[0])
	from.is.Equal(from.Len(), 0)

	to.is.NoErr(to.Import(start.Add(time.Second), transfer))
	to.expect(start.Add(time.Second), claim.Grant, secondExecution, claim.Held)
	to.is.True(to.Import(start.Add(time.Second), transfer) != nil) // a copy
	to.expect(start.Add(retention+claim.HandOverLimit), claim.Lookup, secondExecution, claim.Free)

	_, err = to.Export(start.Add(time.Second), 9, 7)
	to.is.NoErr(err)
	to.is.True(to.Import(start.Add(time.Second), transfer) != nil) // an old copy after the seat moved on
}

// TestMoveRefused guards against a successor without room that drops claims, and
// against a seat that no agent answers for after the refusal.
func TestMoveRefused(t *testing.T) {
	from, to := newHolder(t, 10), &holder{Store: claim.NewStore(8, retention, maxUnconfirmed, 0), is: is.New(t)}
	from.expect(start, claim.Grant, firstExecution, claim.Granted)

	transfer, err := from.Export(start, 9, 8)
	from.is.NoErr(err)
	from.is.True(to.Import(start, transfer) != nil)
	from.is.NoErr(from.Restore(start, transfer))
	from.expect(start, claim.Grant, secondExecution, claim.Held)
	from.is.True(from.Restore(start, transfer) != nil) // it is already back
}

// FuzzDecode guards against bytes from the network that cause a panic or are
// decoded to a message that exceeds its limits.
func FuzzDecode(f *testing.F) {
	request, _ := claim.Encode(claim.Request{Verb: claim.Grant, Seat: 9, Key: key, Execution: firstExecution})
	reply, _ := claim.Encode(claim.Reply{Status: claim.Held, Seat: 9, Key: key, Owner: secondExecution})
	transfer, _ := claim.Encode(claim.Transfer{Seat: 9, Records: []claim.Record{{Key: key, Status: claim.Granted}}})
	snapshot, _ := claim.Encode(claim.HistorySnapshot{
		CoveredDuration: 1, Memberships: []claim.MembershipRecord{{Members: []claim.Member{{Incarnation: 1}}}},
	})

	for _, seed := range [][]byte{request, reply, transfer, snapshot, {0xa1}, {0xbf, 0xff}} {
		f.Add(seed)
	}

	f.Fuzz(func(t *testing.T, encoded []byte) {
		is := is.New(t)

		if decoded, err := claim.DecodeRequest(encoded); err == nil {
			is.True(len(decoded.Key.Token) <= claim.MaxToken && len(decoded.Answer.Body) <= claim.MaxAnswer)
			claim.NewStore(decoded.Seat, retention, maxUnconfirmed, 10).Handle(start, decoded)
		}

		if decoded, err := claim.DecodeReply(encoded); err == nil {
			is.True(decoded.Status >= claim.Granted && decoded.Status <= claim.NotHolder)
			newClaimant(t, decoded.Key, 3).Reply(start, decoded)
		}

		if decoded, err := claim.DecodeTransfer(encoded); err == nil {
			store := claim.NewStore(decoded.Seat+1, retention, maxUnconfirmed, 10)
			is.Equal(store.Import(start, decoded) == nil, store.Len() == len(decoded.Records) && len(decoded.Records) <= 10)
		}

		if decoded, err := claim.DecodeHistorySnapshot(encoded); err == nil {
			claim.NewHistory(start, retention, maxUnconfirmed).Merge(start, decoded)
		}
	})
}
