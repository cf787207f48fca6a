package registry

import (
	"context"
	"net/netip"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
)

const (
	// watchInterval is how often silent agents are looked for.
	watchInterval = 100 * time.Millisecond

	// pollerTimeout is how long an instance that does not poll any more is told
	// of news.
	pollerTimeout = 3 * time.Second

	// repeatNews is how often an instance is told of a document that it does
	// not have: the message may be lost.
	repeatNews = 60 * time.Millisecond

	// newsSpacing is the least time between two news for one instance about
	// agents. An instance that polls later gets all changes at once.
	newsSpacing = 30 * time.Millisecond

	// maxRepeats bounds the repetitions for one document.
	maxRepeats = 10
)

// poller is an instance that polls.
type poller struct {
	heard    time.Time
	follows  bool
	version  uint64 // of the document that it has
	told     time.Time
	repeated int
}

// polled answers the poll of an instance.
func (r *Registry) polled(from netip.AddrPort, body []byte) error {
	poll, err := wire.Decode[wire.Poll](body)
	if err != nil {
		return err
	}

	now := time.Now()
	current := r.published.Load()

	r.mutex.Lock()
	urgent := r.note(now, from, poll)
	reply := wire.PollReply{
		Sequence: poll.Sequence, Version: current.version, Controllers: current.controllers, Settled: r.settled(now, current),
	}

	if poll.Follows {
		r.fill(&reply, poll)
	}
	r.mutex.Unlock()

	if urgent {
		r.agentNews(now)
	}

	if poll.Quiet && current.version <= poll.Version {
		return nil
	}

	message, err := wire.Encode(wire.KindPollReply, reply)
	if err != nil {
		return err
	}

	return r.inner.Send(from, message)
}

// note notes what a poll tells and reports whether followers should know at
// once. The caller holds the mutex.
func (r *Registry) note(now time.Time, from netip.AddrPort, poll wire.Poll) bool {
	known := r.pollers[from]
	if known == nil {
		known = &poller{}
		r.pollers[from] = known
	}

	r.keeper.heard(now, from, poll.Agent)

	known.heard, known.version = now, poll.Version
	known.follows = known.follows || poll.Follows

	if poll.Agent == nil {
		return false
	}

	record := *poll.Agent
	record.Boot = poll.Boot

	before := r.list.Position()
	urgent := r.list.Announce(now, record, poll.Sequence)

	if urgent {
		r.logger.Info("an agent changed", "agent", record.Address.String(), "service", record.Service,
			"state", record.State.String(), "position", r.list.Position(), "before", before)
	}

	return urgent
}

// settled reports whether document and list are complete and current.
func (r *Registry) settled(now time.Time, current *published) bool {
	return current.led && now.Sub(current.at) < ownerTimeout && now.Sub(r.started) > settleTime
}

// fill adds the list of agents, or the changes that the sender lacks. The
// caller holds the mutex.
func (r *Registry) fill(reply *wire.PollReply, poll wire.Poll) {
	position := poll.Position
	if poll.Epoch != r.list.Epoch() || position > r.list.Position() {
		position = 0
	}

	reply.Epoch = r.list.Epoch()
	reply.Whole = position == 0
	reply.Agents, reply.Position = r.list.Since(position)
}

// fetched sends the document in force.
func (r *Registry) fetched(from netip.AddrPort, body []byte) error {
	fetch, err := wire.Decode[wire.Fetch](body)
	if err != nil {
		return err
	}

	current := r.published.Load()
	if current.version <= fetch.Above {
		return nil
	}

	return r.inner.Send(from, append([]byte{byte(wire.KindDocument)}, current.encoded...))
}

// news tells instances to poll now.
func (r *Registry) news(now time.Time, wanted func(p *poller) bool) {
	var addresses []netip.AddrPort

	r.mutex.Lock()
	for address, p := range r.pollers {
		if now.Sub(p.heard) < pollerTimeout && wanted(p) {
			p.told = now
			addresses = append(addresses, address)
		}
	}
	r.mutex.Unlock()

	for _, address := range addresses {
		if err := r.inner.Send(address, []byte{byte(wire.KindNews)}); err != nil {
			r.logger.Debug("news did not leave", "to", address, "error", err)
		}
	}
}

// agentNews tells the instances that follow the list of a change.
func (r *Registry) agentNews(now time.Time) {
	r.news(now, func(p *poller) bool { return p.follows && now.Sub(p.told) >= newsSpacing })
}

// documentNews tells all instances of a new document, and again those that do
// not have it.
func (r *Registry) documentNews(now time.Time) {
	version := r.published.Load().version

	r.mutex.Lock()
	if version > r.notified {
		r.notified = version

		for _, p := range r.pollers {
			p.told, p.repeated = time.Time{}, 0
		}
	}
	r.mutex.Unlock()

	r.news(now, func(p *poller) bool {
		if p.version >= version || now.Sub(p.told) < repeatNews || p.repeated >= maxRepeats {
			return false
		}

		p.repeated++

		return true
	})
}

// watch notices agents and instances that fell silent.
func (r *Registry) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()

		r.mutex.Lock()
		changed := r.list.Expire(now)

		for address, p := range r.pollers {
			if now.Sub(p.heard) > pollerTimeout {
				delete(r.pollers, address)
			}
		}
		r.mutex.Unlock()

		if changed {
			r.logger.Warn("agents fell silent", "agents", r.Agents())
			r.agentNews(now)
		}

		r.documentNews(now)
	}
}

// Agents returns the number of agents that are not gone.
func (r *Registry) Agents() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.list.Len()
}

// Controllers returns the members of the group.
func (r *Registry) Controllers() []flow.Endpoint { return r.published.Load().controllers }
