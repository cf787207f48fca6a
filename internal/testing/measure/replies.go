package measure

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// RepliesConfig describes feeds of one agent while one balancer fails without
// notice.
type RepliesConfig struct {
	Seed      uint64
	Balancers int
	Flows     int
	Duration  time.Duration // the balancer fails halfway through
	LastSeen  bool          // replies go through the balancer that last forwarded a packet of the flow
}

// RepliesResult counts replies. A reply is late if it reaches its caller more
// than a second after it was first sent.
type RepliesResult struct {
	Sent     int // including retransmissions
	Lost     int
	Late     int
	SlowTime time.Duration // longest time from the first transmission of a reply to its arrival
}

const (
	repliesStep         = 10 * time.Millisecond
	replyInterval       = 500 * time.Millisecond // mean time between two replies of a feed
	keepAliveInterval   = 5 * time.Second        // after which a silent caller sends a packet
	initialProbeTimeout = 200 * time.Millisecond // until the first retransmission; doubled for each further one
	fabricFailoverDelay = 3 * time.Second        // until the fabric stops sending to the failed balancer
)

// feed is a flow on which the agent sends replies, with at most one
// unacknowledged reply at a time.
type feed struct {
	caller       netip.AddrPort
	lastSeen     int       // index of the balancer that last forwarded a packet of the flow
	callerSentAt time.Time // of the caller's last packet
	firstSentAt  time.Time // first transmission of the unacknowledged reply; zero if there is none
	retryAt      time.Time
	probeTimeout time.Duration
}

// repliesSimulation is the state of a Replies run.
type repliesSimulation struct {
	config RepliesConfig
	random *rand.Rand
	agent  *forward.Agent
	keys   *datagram.Keys
	feeds  []*feed
	start  time.Time
	now    time.Time
	result RepliesResult
}

// Replies runs feeds of one agent through several balancers, the first of which
// fails.
func Replies(config RepliesConfig) (RepliesResult, error) {
	const agent, service = 1, 1

	start := time.Unix(1_800_000_000, 0)
	contents := view.Contents{
		Services: []view.Service{{ID: service}},
		Agents:   []view.Agent{{Incarnation: agent, Service: service, Weight: view.MaxWeight, State: view.Active}},
		Keys:     []view.Key{{ID: 1}},
	}

	for i := range config.Balancers {
		contents.Balancers = append(contents.Balancers, view.Balancer{
			Incarnation: view.Incarnation(2 + i), Data: balancerAddress(i), State: view.Active,
		})
	}

	keys, err := datagram.New(contents.Keys)
	if err != nil {
		return RepliesResult{}, err
	}

	s := &repliesSimulation{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), keys: keys,
		agent: forward.NewAgent(agent, service), start: start, now: start,
	}
	if err := s.agent.Apply(view.New(contents)); err != nil {
		return RepliesResult{}, err
	}

	for i := range config.Flows {
		address := netip.AddrFrom4([4]byte{100, 0, byte(i >> 8), byte(i)})
		s.feeds = append(s.feeds, &feed{caller: netip.AddrPortFrom(address, 4433)})
	}

	for ; s.now.Before(start.Add(config.Duration)); s.now = s.now.Add(repliesStep) {
		for _, f := range s.feeds {
			s.stepFeed(f)
		}
	}

	return s.result, nil
}

func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

// stopped reports whether a balancer has failed.
func (s *repliesSimulation) stopped(balancer int) bool {
	return balancer == 0 && s.now.Sub(s.start) >= s.config.Duration/2
}

// stepFeed sends a packet of the caller if it has been silent for too long, and a
// reply or retransmission of the agent if one is due.
func (s *repliesSimulation) stepFeed(f *feed) {
	if s.now.Sub(f.callerSentAt) >= keepAliveInterval {
		s.sendFromCaller(f)
	}

	switch {
	case !f.firstSentAt.IsZero() && !s.now.Before(f.retryAt):
		s.sendReply(f)
	case f.firstSentAt.IsZero() && s.random.Float64() < float64(repliesStep)/float64(replyInterval):
		f.firstSentAt, f.probeTimeout = s.now, initialProbeTimeout
		s.sendReply(f)
	}
}

// sendFromCaller sends a packet of the caller through the fabric.
func (s *repliesSimulation) sendFromCaller(f *feed) {
	f.callerSentAt = s.now

	balancer := s.random.IntN(s.config.Balancers)
	if s.stopped(balancer) {
		if s.now.Sub(s.start) < s.config.Duration/2+fabricFailoverDelay || s.config.Balancers == 1 {
			return
		}

		balancer = 1 + s.random.IntN(s.config.Balancers-1)
	}

	buffer := make([]byte, datagram.HeaderLength+1)
	s.keys.Seal(buffer, &datagram.Header{
		Kind: datagram.Forward, Service: 1, Agent: 1,
		Balancer: view.Incarnation(2 + balancer), Caller: f.caller,
	})
	s.agent.Receive(s.now, buffer, balancerAddress(balancer))

	f.lastSeen = balancer
}

// sendReply sends or retransmits the unacknowledged reply. The caller acknowledges
// it if it arrives.
func (s *repliesSimulation) sendReply(f *feed) {
	balancer := f.lastSeen

	if !s.config.LastSeen {
		header, _, ok := s.agent.Reply(s.now, f.caller)
		if !ok {
			return
		}

		balancer = int(header.Balancer) - 2
	}

	s.result.Sent++

	if s.stopped(balancer) {
		s.result.Lost++
		f.retryAt = s.now.Add(f.probeTimeout)
		f.probeTimeout *= 2

		return
	}

	waited := s.now.Sub(f.firstSentAt)
	s.result.SlowTime = max(s.result.SlowTime, waited)

	if waited > time.Second {
		s.result.Late++
	}

	f.firstSentAt = time.Time{}
	s.sendFromCaller(f)
}
