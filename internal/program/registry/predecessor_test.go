package registry_test

import (
	"testing"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/roster"
)

// TestPredecessor guards against an agent that takes itself for the first at its address
// although it was restarted, and against one that can never tell.
func TestPredecessor(t *testing.T) {
	t.Parallel()

	c := newCluster(t)
	c.bootstrap(5)

	instance := newClient(t, c.address(99).AddrPort())
	sequence := uint64(0)

	poll := func(number int, boot uint64) roster.Predecessor {
		var answer []byte

		c.eventually("a poll is answered", func() bool {
			sequence++

			message, err := wire.Encode(wire.KindPoll, wire.Poll{
				Boot: boot, Sequence: sequence, Agent: &roster.Record{Address: c.address(99), State: roster.Ready},
			})
			c.is.NoErr(err)

			answer = instance.request(c.address(number), message, wire.KindPollReply)

			return answer != nil
		})

		reply, err := wire.Decode[wire.PollReply](answer)
		c.is.NoErr(err)

		return *reply.Predecessor
	}

	c.eventually("a founder tells the first agent that it is the first", func() bool {
		return poll(1, 7) == roster.Predecessor{Listening: roster.Memory}
	})

	time.Sleep(50 * time.Millisecond)

	second := poll(1, 8)
	c.is.True(second.SinceHeard >= 50*time.Millisecond && second.SinceHeard < time.Second)
	c.is.True(poll(1, 8).SinceHeard >= second.SinceHeard) // the current start is not its own predecessor

	t.Run("restarted controller", func(*testing.T) {
		c.kill(1)
		c.start(1, "1", true)
		c.eventually("it is ready", func() bool { return poll(1, 8).Listening > 0 })
		c.is.True(poll(1, 8).Listening < roster.Memory) // it may have missed the earlier start
	})
}
