package gate_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/state/flow"
)

// TestOnlyOffered guards against the reset of a flow that is open at another backend server,
// because the one beside this agent accepted a second copy of its opening packet and has
// ended since.
func TestOnlyOffered(t *testing.T) {
	ends := map[string]func(*backendFixture){
		"ended": func(b *backendFixture) { b.markEnded("a", start.UnixMilli()) },
		"replaced": func(b *backendFixture) {
			b.advance(2 * time.Second)
			b.report(report(b.now, 1))
		},
	}
	offers := map[string]func(*backendFixture){
		"accepted": func(b *backendFixture) {
			b.fromClient(openHeader, gate.Deliver)
			b.fromBackend(acceptHeader, gate.ToClient)
		},
		"not answered": func(b *backendFixture) { b.fromClient(openHeader, gate.Deliver) },
	}

	newOffered := func(t *testing.T, offer, end func(*backendFixture)) *backendFixture {
		t.Helper()

		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.advance(reportInterval)
		b.report(report(start, 2))
		offer(b)
		b.advance(2 * reportInterval)
		b.report(report(start, 4))
		end(b)

		return b
	}

	for endName, end := range ends {
		for offerName, offer := range offers {
			t.Run(offerName+", "+endName+", used", func(t *testing.T) {
				b := newOffered(t, offer, end)
				b.is.Equal(b.fromClient(requestHeader, gate.Return).Reason, gate.ReasonReplaced)
				b.is.Equal(len(b.gate.Orphans()), 0)
			})

			t.Run(offerName+", "+endName+", searched", func(t *testing.T) {
				b := newOffered(t, offer, end)
				b.is.Equal(b.gate.Locate(b.now, key), flow.Absent)
			})
		}
	}
}

// TestOpenWithoutAnswer guards against a client that is not told at once that its flow is
// lost, because its first request was not answered before the backend server ended.
func TestOpenWithoutAnswer(t *testing.T) {
	newUnanswered := func(t *testing.T) *backendFixture {
		t.Helper()

		request := requestHeader
		request.Acknowledged = acceptHeader.Sequence + 1

		b := newBackendFixture(t)
		b.report(report(start, 1))
		b.fromClient(openHeader, gate.Deliver)
		b.fromBackend(acceptHeader, gate.ToClient)
		b.fromClient(request, gate.Deliver)
		b.markEnded("a", start.UnixMilli())

		return b
	}

	t.Run("used", func(t *testing.T) {
		b := newUnanswered(t)
		b.is.True(b.fromClient(requestHeader, gate.Reset).InUse)
	})

	t.Run("idle", func(t *testing.T) {
		b := newUnanswered(t)
		b.is.Equal(b.gate.Orphans(), []gate.Orphan{{Key: key, Sequence: acceptHeader.Sequence + 1}})
	})
}
