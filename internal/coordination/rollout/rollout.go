// Package rollout distributes views from the controllers, directly or through
// relays, to the instances of an environment.
//
// A Publisher holds the newest view and a ring of recent deltas. A subscriber
// sends the position of its view and gets the deltas since then, or a full view
// in chunks if its position is not in the ring. When there are no changes, it
// gets a heartbeat every HeartbeatInterval, with the publisher's position and
// digest and the age of the leader's last confirmation.
//
// # Usage
//
// A controller publishes and calls Tick at least every CoalesceInterval:
//
//	publisher := rollout.New("production")
//	publisher.Apply(now, catalog.View("production"))
//	publisher.Confirm(confirmedAt) // while a quorum confirms the leader
//	publisher.Tick(now)
//
// A server serves the publishers of its environments over links:
//
//	server.HandleStream(control.MethodWatch, rollout.Handler(publisher))
//
// An instance subscribes to one of its upstreams. A relay passes a Publisher as
// the sink:
//
//	follower := rollout.NewFollower("production", nil)
//	err := rollout.Subscribe(ctx, upstreams, follower, sink, random)
//
// # Guarantees
//
// The position of a follower never goes back, which an invariant checks. A
// follower that has missed an update subscribes again and gets the missing
// deltas or a full view, and one whose view has another digest gets a full view.
// A publisher has no queue per subscriber: a subscriber whose position has left
// the ring gets a full view. A slow subscriber therefore uses no more memory than
// others and does not delay them.
package rollout

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to a subscriber.
	HeartbeatInterval = 2 * time.Second

	// CoalesceInterval is the minimum time between two published views. Changes
	// within it are combined into one delta. Two levels of publishers add at most
	// 0.4 s to the 5 s within which a change must be in force everywhere.
	CoalesceInterval = 200 * time.Millisecond

	// ConfirmationLimit is the maximum age of a leader's confirmation that is
	// still valid.
	ConfirmationLimit = 5 * time.Second

	// maxRingDeltas is the maximum number of deltas in the ring. They cover at
	// least 51 s of continuous changes at one delta per CoalesceInterval.
	maxRingDeltas = 256

	// maxDeltasPerBatch limits the deltas that a Cursor returns at a time. After
	// each batch it reads the ring again, so that a slow subscriber whose position
	// has left the ring gets a full view in place of outdated deltas.
	maxDeltasPerBatch = 16

	// silenceTimeout is the time without any update after which a subscriber
	// leaves an upstream, and confirmationTimeout the time without a confirmation
	// by a leader.
	silenceTimeout      = 3 * HeartbeatInterval
	confirmationTimeout = ConfirmationLimit + HeartbeatInterval
)
