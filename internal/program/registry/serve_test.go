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

// TestAnnouncesStop guards against instances that follow a controller which has stopped as
// planned: until they notice, they do not learn of new agents.
func TestAnnouncesStop(t *testing.T) {
	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)

	instance := newClient(t, c.address(99).AddrPort())
	message, err := wire.Encode(wire.KindPoll, wire.Poll{WantsAgents: true})
	c.is.NoErr(err)

	isReady := func(answer []byte) bool {
		reply, err := wire.Decode[wire.PollReply](answer)

		return err == nil && reply.Ready
	}

	c.eventually("the controller is ready", func() bool {
		return isReady(instance.request(c.address(1), message, wire.KindPollReply))
	})
	c.kill(1)

	// Controller 1 is gone, so that this is what it sent at its stop.
	var last []byte

	c.eventually("the stop was announced", func() bool {
		last = instance.request(c.address(1), message, wire.KindPollReply)

		return last != nil
	})
	c.is.True(!isReady(last))
}
