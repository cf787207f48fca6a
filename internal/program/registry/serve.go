package registry

import (
	"context"
	"net/netip"
	"time"

	"jayspindle/internal/program/uptime"
	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

const (
	// expireInterval is how often silent agents and instances are looked for.
	expireInterval = 100 * time.Millisecond

	// pollerTimeout is how long an instance that no longer polls is still
	// notified.
	pollerTimeout = 3 * time.Second

	// repeatInterval is how often an instance is notified of a document that it
	// does not have: the message may be lost.
	repeatInterval = 60 * time.Millisecond

	// minNotifyInterval is the minimum time between two notifications of one
	// instance about agents. An instance that polls later gets all changes at
	// once.
	minNotifyInterval = 30 * time.Millisecond

	// resumeDelay is how long after a suspension a controller says nothing about what is
	// current: an election, after which a follower knows its leader again, and two polls
	// of each agent.
	resumeDelay = 2500 * time.Millisecond

	// maxListeningPause is the longest time between two runs of expireSilent after which
	// no poll can have been lost: instances poll more often, and the socket keeps some.
	maxListeningPause = time.Second

	// maxRepeats limits the repeated notifications about one document.
	maxRepeats = 10
)

// poller is the state of an instance that polls. Unlike knownInstances, pollers
// are not stored; they hold the version that each instance has.
type poller struct {
	lastPoll     time.Time
	wantsAgents  bool   // wants the list of agents
	version      uint64 // of the document that it has
	lastNotified time.Time
	repeats      int
}

// handlePoll answers the poll of an instance.
func (r *Registry) handlePoll(from netip.AddrPort, body []byte) error {
	poll, err := wire.Decode[wire.Poll](body)
	if err != nil {
		return err
	}

	now := time.Now()
	current := r.published.Load()

	reply := wire.PollReply{Sequence: poll.Sequence, Version: current.version, Controllers: current.controllers}

	if r.answerPoll(now, from, poll, &reply, current) {
		r.notifyFollowers(now)
	}

	if poll.OnlyIfNewer && current.version <= poll.Version {
		return nil
	}

	message, err := wire.Encode(wire.KindPollReply, reply)
	if err != nil {
		return err
	}

	return r.conn.Send(from, message)
}

// answerPoll records a poll, completes the reply and reports whether followers should be
// notified at once.
func (r *Registry) answerPoll(
	now time.Time, from netip.AddrPort, poll wire.Poll, reply *wire.PollReply, current *publishedState,
) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	urgent := r.recordPoll(now, from, poll)
	reply.Ready = r.ready(now, current)

	if poll.WantsAgents {
		r.addAgents(reply, poll)
	}

	if poll.Agent != nil {
		reply.Predecessor = r.predecessor(now, poll.Agent.Address, reply.Ready)
	}

	return urgent
}

// predecessor tells an agent what is known of an earlier one at its address. A controller
// that is cut off may have missed agents that the others know. The caller holds the
// mutex.
func (r *Registry) predecessor(now time.Time, agent flow.Endpoint, ready bool) *roster.Predecessor {
	found := &roster.Predecessor{SinceHeard: r.agents.SinceHeard(now, agent)}

	if ready {
		listening := min(now.Sub(r.listeningSince), now.Sub(r.suspension.lastResume(now)))
		found.Listening = min(listening, roster.Memory)
	}

	return found
}

// listenSinceFoundation records that no agent can have polled before this controller
// started, because the deployment did not exist.
func (r *Registry) listenSinceFoundation() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.listeningSince.Equal(r.started) {
		r.listeningSince = r.started.Add(-roster.Memory)
	}
}

// recordPoll records the contents of a poll and reports whether followers should
// be notified at once. The caller holds the mutex.
func (r *Registry) recordPoll(now time.Time, from netip.AddrPort, poll wire.Poll) bool {
	known := r.pollers[from]
	if known == nil {
		known = &poller{}
		r.pollers[from] = known
	}

	r.checkpoints.recordPoll(now, from, poll.Agent)

	known.lastPoll, known.version = now, poll.Version
	known.wantsAgents = known.wantsAgents || poll.WantsAgents

	if poll.Agent == nil {
		return false
	}

	record := *poll.Agent
	record.Boot = poll.Boot

	before := r.agents.Position()
	urgent := r.agents.Announce(now, record, poll.Sequence)

	if urgent {
		r.logger.Info("an agent changed", "agent", record.Address.String(), "service", record.Service,
			"state", record.State.String(), "position", r.agents.Position(), "before", before)
	}

	return urgent
}

// ready reports whether the document and the list of agents are complete and
// current.
func (r *Registry) ready(now time.Time, current *publishedState) bool {
	return !r.stopping && current.hasLeader && now.Sub(current.publishedAt) < maxPublishedAge &&
		now.Sub(r.started) > settleDelay && now.Sub(r.suspension.lastResume(now)) > resumeDelay
}

// suspension notices that the machine was suspended. The Raft node still believes in its
// leader after that, and the list of agents is that of before, but nothing of it can be
// told by the monotonic clock, which stood still.
type suspension struct {
	total   func() time.Duration // of the machine so far
	known   time.Duration
	resumed time.Time // when the last suspension was noticed
}

func newSuspension(total func() time.Duration) suspension {
	return suspension{total: total, known: total()}
}

// lastResume returns when the machine was last found to have been suspended.
func (s *suspension) lastResume(now time.Time) time.Time {
	if total := s.total(); total-s.known > uptime.Tolerance {
		s.known, s.resumed = total, now
	}

	return s.resumed
}

// addAgents adds the list of agents to a reply, or only the changes that the
// sender lacks. The caller holds the mutex.
func (r *Registry) addAgents(reply *wire.PollReply, poll wire.Poll) {
	position := poll.Position
	if poll.Epoch != r.agents.Epoch() || position > r.agents.Position() {
		position = 0
	}

	reply.Epoch = r.agents.Epoch()
	reply.Complete = position == 0
	reply.Agents, reply.Position = r.agents.Since(position)
}

// handleFetch sends the document in force.
func (r *Registry) handleFetch(from netip.AddrPort, body []byte) error {
	fetch, err := wire.Decode[wire.Fetch](body)
	if err != nil {
		return err
	}

	current := r.published.Load()
	if current.version <= fetch.Above {
		return nil
	}

	return r.conn.Send(from, append([]byte{byte(wire.KindDocument)}, current.encoded...))
}

// notify tells the instances that match the filter to poll now.
func (r *Registry) notify(now time.Time, filter func(p *poller) bool) {
	r.sendToPollers(now, []byte{byte(wire.KindPollNow)}, filter)
}

// sendToPollers sends a message to the instances that match the filter.
func (r *Registry) sendToPollers(now time.Time, message []byte, filter func(p *poller) bool) {
	var addresses []netip.AddrPort

	r.mutex.Lock()
	for address, p := range r.pollers {
		if now.Sub(p.lastPoll) < pollerTimeout && filter(p) {
			p.lastNotified = now
			addresses = append(addresses, address)
		}
	}
	r.mutex.Unlock()

	for _, address := range addresses {
		if err := r.conn.Send(address, message); err != nil {
			r.logger.Debug("could not send a notification", "to", address, "error", err)
		}
	}
}

// announceStop tells the instances that follow the list of agents that this controller is no
// longer current, so that they choose another one before it is gone. It is the answer to no
// poll. The others notice in time for what they need.
func (r *Registry) announceStop() {
	r.mutex.Lock()
	r.stopping = true
	r.mutex.Unlock()

	current := r.published.Load()

	message, err := wire.Encode(wire.KindPollReply, wire.PollReply{
		Version: current.version, Controllers: current.controllers,
	})
	if err != nil {
		r.logger.Error("could not encode the announcement of the stop", "error", err)

		return
	}

	r.sendToPollers(time.Now(), message, func(p *poller) bool { return p.wantsAgents })
}

// notifyFollowers notifies the instances that follow the list of agents of a
// change.
func (r *Registry) notifyFollowers(now time.Time) {
	r.notify(now, func(p *poller) bool { return p.wantsAgents && now.Sub(p.lastNotified) >= minNotifyInterval })
}

// notifyDocument notifies all instances of a new document, and repeats this for
// those that do not have it.
func (r *Registry) notifyDocument(now time.Time) {
	version := r.published.Load().version

	r.mutex.Lock()
	if version > r.notifiedVersion {
		r.notifiedVersion = version

		for _, p := range r.pollers {
			p.lastNotified, p.repeats = time.Time{}, 0
		}
	}
	r.mutex.Unlock()

	r.notify(now, func(p *poller) bool {
		if p.version >= version || now.Sub(p.lastNotified) < repeatInterval || p.repeats >= maxRepeats {
			return false
		}

		p.repeats++

		return true
	})
}

// expireSilent removes agents and instances that fell silent, until ctx ends.
func (r *Registry) expireSilent(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()

	lastRun := time.Now()

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()

		r.mutex.Lock()
		if now.Sub(lastRun) > maxListeningPause {
			r.listeningSince = now
		}

		lastRun = now
		changed := r.agents.Expire(now)

		for address, p := range r.pollers {
			if now.Sub(p.lastPoll) > pollerTimeout {
				delete(r.pollers, address)
			}
		}
		r.mutex.Unlock()

		if changed {
			r.logger.Warn("agents fell silent", "agents", r.Agents())
			r.notifyFollowers(now)
		}

		r.notifyDocument(now)
	}
}

// Agents returns the number of agents that are not gone.
func (r *Registry) Agents() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	return r.agents.Len()
}

// Controllers returns the members of the group.
func (r *Registry) Controllers() []flow.Endpoint { return r.published.Load().controllers }
