package sidecar_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/transport/frag"
)

// awaitReceived waits until the controller has handled all messages that were sent to
// it: loopback keeps the order of datagrams.
func (f *fixture) awaitReceived() {
	f.Helper()

	conn, err := frag.Listen(netip.AddrPortFrom(agent.Addr(), 22004), slog.New(slog.DiscardHandler))
	f.is.NoErr(err)
	f.is.NoErr(conn.Send(controller, []byte{byte(wire.KindLocate)}))

	for deadline := time.Now().Add(timeout); f.fake.indexOf(wire.KindLocate) < 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatal("the controller does not receive messages")
		}
	}

	f.is.NoErr(conn.Close())
}

// TestStopBeforeReport guards against the reset of open flows by a second planned stop:
// an agent that was stopped again before the next report of its backend server
// announced that both were gone, and entry instances denied the flows.
func TestStopBeforeReport(t *testing.T) {
	f := newFixture(t, 2000)
	f.awaitAnnounced(roster.Starting)
	f.stop()
	f.awaitReceived()
	f.is.Equal(f.fake.announced(), roster.Starting)
	f.is.True(f.fake.isAway())
}

// TestStopBesideBackend guards against the reset of open flows while their agent is
// restarted: it fell silent like one that is lost with its backend server.
func TestStopBesideBackend(t *testing.T) {
	f := newFixture(t, 2000)
	f.report()
	f.awaitAnnounced(roster.Ready)
	f.is.True(!f.fake.isAway())
	f.stop()
	f.awaitReceived()
	f.is.Equal(f.fake.announced(), roster.Ready)
	f.is.True(f.fake.isAway())
}

// TestStopAfterEnd guards against searches that wait for an agent whose backend server
// has ended: it does not come back.
func TestStopAfterEnd(t *testing.T) {
	f := newFixture(t, 2000)
	f.report()
	f.awaitAnnounced(roster.Ready)
	f.is.NoErr(f.agent.BackendEnded("a", 2000))
	f.stop()
	f.awaitReceived()
	f.is.Equal(f.fake.announced(), roster.Gone)
	f.is.True(!f.fake.isAway())
}
