package registry_test

import (
	"testing"

	"jayspindle/internal/protocol/wire"
)

// TestQuietPoll guards against controllers that answer every poll of every
// instance, which makes up a third of the control traffic in bytes, and against
// instances that miss a document because they follow another controller.
func TestQuietPoll(t *testing.T) {
	c := newCluster(t)
	c.bootstrap(5)
	c.submit(5)

	instance := newClient(t, c.address(99).AddrPort())

	poll := func(body wire.Poll) []byte {
		message, err := wire.Encode(wire.KindPoll, body)
		c.is.NoErr(err)

		return instance.request(c.address(1), message, wire.KindPollReply)
	}

	c.eventually("an older document is answered", func() bool {
		return poll(wire.Poll{OnlyIfNewer: true, Version: 4}) != nil
	})

	for range 5 {
		c.is.Equal(poll(wire.Poll{OnlyIfNewer: true, Version: 5}), nil)
	}

	c.eventually("a poll that wants an answer gets it", func() bool { return poll(wire.Poll{Version: 5}) != nil })
}
