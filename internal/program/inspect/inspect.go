// Package inspect queries the controllers and agents of pass-through services
// for operators.
//
// # Usage
//
//	inspector, err := inspect.New(address, logger)
//	defer inspector.Close()
//	report := inspector.Fleet(ctx, controllers)
//	found, err := inspector.Flow(ctx, controllers, key)
//
// It polls like an instance that follows the list of agents, and asks agents like
// an entry instance that looks for a flow. Neither changes documents, agents or flows.
package inspect

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
	"jayspindle/internal/transport/frag"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen   Kind = "listen"    // the address cannot be opened
	KindNoAnswer Kind = "no answer" // no controller answers
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("inspect", operation, kind, err)
}

// resendInterval is how often a question without an answer is sent again:
// messages may be lost.
const resendInterval = 100 * time.Millisecond

// Controller is what one controller reports.
type Controller struct {
	Address string `json:"address"`
	Answers bool   `json:"answers"`
	Settled bool   `json:"settled"` // it knows a leader, and its list of agents is complete
	Version uint64 `json:"version"` // of the document in force
	Agents  int    `json:"agents"`
	Members int    `json:"members"` // controllers of the group
}

// Agent is what the controllers report about an agent.
type Agent struct {
	Address string `json:"address"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Failing bool   `json:"failing"` // its requests fail, so new flows go elsewhere
	Cold    bool   `json:"cold"`    // its backend server has just started
	Slots   uint16 `json:"slots"`
	Flows   uint16 `json:"flows"`
	Waiting uint16 `json:"waiting"` // flows that wait for an answer
}

// Fleet is the state of a deployment.
type Fleet struct {
	Controllers []Controller `json:"controllers"`
	Agents      []Agent      `json:"agents"`
}

// Target is a service that a route sends new flows to.
type Target struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// FlowAnswer is what an agent reports about a flow.
type FlowAnswer struct {
	Agent
	Answer string `json:"answer"` // "holds the flow", "does not hold it", "does not know" or "no answer"
}

// Flow is what controllers and agents report about a flow.
type Flow struct {
	Flow    string       `json:"flow"`
	Version uint64       `json:"version"` // of the document in force
	Route   string       `json:"route"`   // empty if the document has none for the address
	Targets []Target     `json:"targets"`
	Agents  []FlowAnswer `json:"agents"`
}

// Held reports whether an agent holds the flow.
func (f *Flow) Held() bool {
	return slices.ContainsFunc(f.Agents, func(h FlowAnswer) bool { return h.Answer == answerText(flow.Held) })
}

// Inspector sends queries and collects the answers.
type Inspector struct {
	conn *frag.Conn

	mutex         sync.Mutex
	replies       map[flow.Endpoint]wire.PollReply
	documents     map[uint64]*route.Document
	locateAnswers map[flow.Endpoint]flow.Answer // by the address of the agent
	changed       chan struct{}
}

// New opens a socket on the address from which queries are sent.
func New(address netip.AddrPort, logger *slog.Logger) (*Inspector, error) {
	conn, err := frag.Listen(address, logger)
	if err != nil {
		return nil, newError("listen", KindListen, err)
	}

	i := &Inspector{
		conn: conn, replies: make(map[flow.Endpoint]wire.PollReply), documents: make(map[uint64]*route.Document),
		locateAnswers: make(map[flow.Endpoint]flow.Answer), changed: make(chan struct{}, 1),
	}

	go conn.Serve(i.handle)

	return i, nil
}

// Close closes the socket.
func (i *Inspector) Close() error { return i.conn.Close() }

// handle stores an answer and ignores all other messages.
func (i *Inspector) handle(from netip.AddrPort, message []byte) {
	kind, body, ok := wire.Split(message)
	sender, isIPv4 := flow.NewEndpoint(from)

	if !ok || !isIPv4 {
		return
	}

	i.mutex.Lock()
	defer i.mutex.Unlock()

	switch kind {
	case wire.KindPollReply:
		if reply, err := wire.Decode[wire.PollReply](body); err == nil {
			i.replies[sender] = reply
		}
	case wire.KindDocument:
		if document, err := route.Decode(body); err == nil {
			i.documents[document.Version] = document
		}
	case wire.KindLocated:
		if located, err := wire.ParseLocated(body); err == nil && len(located.Answers) == 1 {
			i.locateAnswers[sender] = located.Answers[0]
		}
	}

	select {
	case i.changed <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// pollUntil sends questions repeatedly until done returns true or ctx ends.
func (i *Inspector) pollUntil(ctx context.Context, ask func(), done func() bool) {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()

	ask()

	for {
		i.mutex.Lock()
		finished := done()
		i.mutex.Unlock()

		if finished {
			return
		}

		select {
		case <-i.changed:
		case <-ticker.C:
			ask()
		case <-ctx.Done():
			return
		}
	}
}

// send sends a question. A failed send is treated like a lost message.
func (i *Inspector) send(to flow.Endpoint, kind wire.Kind, body any) {
	if message, err := wire.Encode(kind, body); err == nil {
		_ = i.conn.Send(to.AddrPort(), message)
	}
}

// Fleet returns what controllers report until ctx ends, and the list of agents of
// the most current one.
func (i *Inspector) Fleet(ctx context.Context, controllers []flow.Endpoint) *Fleet {
	i.pollUntil(ctx, func() {
		for _, controller := range controllers {
			i.send(controller, wire.KindPoll, wire.Poll{WantsAgents: true})
		}
	}, func() bool { return len(i.replies) >= len(controllers) })

	i.mutex.Lock()
	defer i.mutex.Unlock()

	fleet := &Fleet{}

	for _, controller := range controllers {
		reply, answers := i.replies[controller]
		fleet.Controllers = append(fleet.Controllers, Controller{
			Address: controller.String(), Answers: answers, Settled: reply.Ready, Version: reply.Version,
			Agents: len(reply.Agents), Members: len(reply.Controllers),
		})
	}

	for _, record := range i.bestReply().Agents {
		fleet.Agents = append(fleet.Agents, newAgent(record))
	}

	slices.SortFunc(fleet.Agents, func(a, b Agent) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})

	return fleet
}

// bestReply returns the reply with the highest version, and prefers controllers
// that are ready. The caller holds the mutex.
func (i *Inspector) bestReply() wire.PollReply {
	var best wire.PollReply

	for _, reply := range i.replies {
		if (reply.Ready && !best.Ready) || (reply.Ready == best.Ready && reply.Version > best.Version) {
			best = reply
		}
	}

	return best
}

func newAgent(record roster.Record) Agent {
	return Agent{
		Address: record.Address.String(), Service: record.Service, Zone: record.Zone, State: record.State.String(),
		Failing: record.Failing, Cold: record.Cold, Slots: record.Slots, Flows: record.Flows, Waiting: record.Waiting,
	}
}

// Flow asks the controllers for the route of a flow and all agents whether they
// hold it.
func (i *Inspector) Flow(ctx context.Context, controllers []flow.Endpoint, key flow.Key) (*Flow, error) {
	i.Fleet(ctx, controllers)

	i.mutex.Lock()
	if len(i.replies) == 0 {
		i.mutex.Unlock()

		return nil, newError("flow", KindNoAnswer, errors.New("no controller answers"))
	}

	newest := i.bestReply()
	i.mutex.Unlock()

	port := controllers[0].Port // the same on all instances
	question := wire.Locate{ID: 1, Keys: []flow.Key{key}}.Append(nil)

	i.pollUntil(ctx, func() {
		for _, controller := range controllers {
			i.send(controller, wire.KindFetch, wire.Fetch{})
		}

		for _, record := range newest.Agents {
			agent := flow.Endpoint{IP: record.Address.IP, Port: port}
			_ = i.conn.Send(agent.AddrPort(), question) // asked again if it is lost
		}
	}, func() bool { return i.documents[newest.Version] != nil && len(i.locateAnswers) >= len(newest.Agents) })

	i.mutex.Lock()
	defer i.mutex.Unlock()

	return i.describe(key, newest, port), nil
}

// describe combines the answers. The caller holds the mutex.
func (i *Inspector) describe(key flow.Key, newest wire.PollReply, port uint16) *Flow {
	found := &Flow{Flow: key.String(), Version: newest.Version}

	if document := i.documents[newest.Version]; document != nil {
		for _, candidate := range document.Routes {
			if candidate.Address != key.Service.AddrPort() {
				continue
			}

			found.Route = candidate.Name

			for _, target := range candidate.Targets {
				found.Targets = append(found.Targets, Target{Service: target.Service, Weight: target.Weight})
			}
		}
	}

	for _, record := range newest.Agents {
		answer := i.locateAnswers[flow.Endpoint{IP: record.Address.IP, Port: port}]
		found.Agents = append(found.Agents, FlowAnswer{Agent: newAgent(record), Answer: answerText(answer)})
	}

	return found
}

func answerText(answer flow.Answer) string {
	switch answer {
	case flow.Held:
		return "holds the flow"
	case flow.Absent:
		return "does not hold it"
	case flow.Unsure:
		return "does not know"
	default:
		return "no answer"
	}
}
