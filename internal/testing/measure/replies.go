package measure

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// RepliesConfig describes feeds of one agent while one balancer stops silently.
type RepliesConfig struct {
	Seed      uint64
	Balancers int
	Flows     int
	Duration  time.Duration // the balancer stops at half of it
	LastSeen  bool          // reply through the balancer that the flow was last heard from
}

// RepliesResult counts replies. A reply is late when it reaches its caller more
// than a second after it was first sent.
type RepliesResult struct {
	Sent     int // with retransmissions
	Lost     int
	Late     int
	SlowTime time.Duration // longest time until a reply arrived
}

const (
	repliesTick    = 10 * time.Millisecond
	replyInterval  = 500 * time.Millisecond // of a feed, mean
	keepAlive      = 5 * time.Second        // after which a caller that hears nothing sends
	firstProbe     = 200 * time.Millisecond // doubled for each further retransmission
	fabricReaction = 3 * time.Second        // until the fabric stops sending to the balancer
)

// feed is one flow: at most one reply is unanswered at a time.
type feed struct {
	caller   netip.AddrPort
	lastSeen int // index of a balancer
	spoke    time.Time
	first    time.Time // of the unanswered reply; zero if there is none
	retry    time.Time
	probe    time.Duration
}

// repliesWorld is the state of a run.
type repliesWorld struct {
	config RepliesConfig
	random *rand.Rand
	agent  *forward.Agent
	keys   *datagram.Keys
	feeds  []*feed
	start  time.Time
	now    time.Time
	result RepliesResult
}

// Replies runs feeds of one agent through balancers of which the first stops.
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

	world := &repliesWorld{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), keys: keys,
		agent: forward.NewAgent(agent, service), start: start, now: start,
	}
	if err := world.agent.Apply(view.New(contents)); err != nil {
		return RepliesResult{}, err
	}

	for i := range config.Flows {
		address := netip.AddrFrom4([4]byte{100, 0, byte(i >> 8), byte(i)})
		world.feeds = append(world.feeds, &feed{caller: netip.AddrPortFrom(address, 4433)})
	}

	for ; world.now.Before(start.Add(config.Duration)); world.now = world.now.Add(repliesTick) {
		for _, f := range world.feeds {
			world.tick(f)
		}
	}

	return world.result, nil
}

func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

// stopped reports whether a balancer forwards nothing any more.
func (w *repliesWorld) stopped(balancer int) bool {
	return balancer == 0 && w.now.Sub(w.start) >= w.config.Duration/2
}

// tick lets the caller speak after a silence, and the agent send what is due.
func (w *repliesWorld) tick(f *feed) {
	if w.now.Sub(f.spoke) >= keepAlive {
		w.speak(f)
	}

	switch {
	case !f.first.IsZero() && !w.now.Before(f.retry):
		w.send(f)
	case f.first.IsZero() && w.random.Float64() < float64(repliesTick)/float64(replyInterval):
		f.first, f.probe = w.now, firstProbe
		w.send(f)
	}
}

// speak sends a packet of the caller through the fabric.
func (w *repliesWorld) speak(f *feed) {
	f.spoke = w.now

	balancer := w.random.IntN(w.config.Balancers)
	if w.stopped(balancer) {
		if w.now.Sub(w.start) < w.config.Duration/2+fabricReaction || w.config.Balancers == 1 {
			return
		}

		balancer = 1 + w.random.IntN(w.config.Balancers-1)
	}

	buffer := make([]byte, datagram.HeaderLength+1)
	w.keys.Seal(buffer, &datagram.Header{
		Kind: datagram.Forward, Service: 1, Agent: 1,
		Balancer: view.Incarnation(2 + balancer), Caller: f.caller,
	})
	w.agent.Receive(w.now, buffer, balancerAddress(balancer))

	f.lastSeen = balancer
}

// send sends or repeats the unanswered reply. The caller acknowledges it.
func (w *repliesWorld) send(f *feed) {
	balancer := f.lastSeen

	if !w.config.LastSeen {
		header, _, ok := w.agent.Reply(w.now, f.caller)
		if !ok {
			return
		}

		balancer = int(header.Balancer) - 2
	}

	w.result.Sent++

	if w.stopped(balancer) {
		w.result.Lost++
		f.retry = w.now.Add(f.probe)
		f.probe *= 2

		return
	}

	waited := w.now.Sub(f.first)
	w.result.SlowTime = max(w.result.SlowTime, waited)

	if waited > time.Second {
		w.result.Late++
	}

	f.first = time.Time{}
	w.speak(f)
}
