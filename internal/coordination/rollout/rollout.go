// Package rollout distributes views from the controllers, directly or over
// relays, to the instances of an environment.
//
// A Publisher holds the newest view and a ring of recent deltas. A subscriber
// states the position it holds and gets the deltas from there on, or a full
// view in chunks if its position is not in the ring. Every HeartbeatInterval
// it gets position, digest and the age of the leader's last confirmation.
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
// A server offers the publishers of its environments on a link:
//
//	server.HandleStream(control.MethodWatch, rollout.Handler(publisher))
//
// An instance follows upstreams. A relay passes a Publisher as the sink:
//
//	follower := rollout.NewFollower("production", nil)
//	err := rollout.Subscribe(ctx, upstreams, follower, sink, random)
//
// # Guarantees
//
// The position of a follower never falls, which an invariant checks. A
// follower that misses an update or holds a view with another digest gets a
// full view. A publisher queues nothing per subscriber: a subscriber that
// falls behind the ring gets a full view, so its backlog is bounded by the
// ring, and it delays nobody else.
package rollout

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to a subscriber.
	HeartbeatInterval = 2 * time.Second

	// CoalesceInterval is the least time between two published views. Changes
	// within it become one delta. Two levels of publishers add at most 0.4 s
	// to the 5 s within which a change is in force everywhere.
	CoalesceInterval = 200 * time.Millisecond

	// ConfirmationLimit is the age up to which a leader's confirmation counts.
	ConfirmationLimit = 5 * time.Second

	// ringSize is the number of deltas kept: at least 51 s of continuous
	// changes at one delta per CoalesceInterval.
	ringSize = 256

	// maxDeltas bounds the deltas that a subscriber takes at a time, so that
	// it looks again at the ring before it sends outdated ones.
	maxDeltas = 16

	// silenceLimit is the time without any update after which a subscriber
	// leaves an upstream, and staleLimit the time without a confirmation.
	silenceLimit = 3 * HeartbeatInterval
	staleLimit   = ConfirmationLimit + HeartbeatInterval
)
