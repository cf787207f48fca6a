package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/steering"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

var (
	start   = time.Unix(1_000_000, 0)
	service = flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443}
)

// fixture is a router with a document and a list of agents.
type fixture struct {
	*testing.T
	is     *is.I
	now    time.Time
	router *steering.Router
	flows  map[flow.Endpoint]uint16 // open flows of each agent

	questions map[flow.Endpoint]uint32 // ID of the last question to each agent
}

func table(t *testing.T, version uint64, routes ...route.Route) *route.Table {
	t.Helper()

	built, err := route.New(&route.Document{Version: version, Routes: routes, Services: []string{"desk", "link"}})
	is.New(t).NoErr(err)

	return built
}

func toService(name string) route.Route {
	return route.Route{
		Name: "a", Address: service.AddrPort(), Timeout: time.Second, Targets: []route.Target{{Service: name, Weight: 1}},
	}
}

func address(number int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, byte(number >> 8), byte(number)}, Port: 7000}
}

func agents(count int, state roster.State) []roster.Record {
	var records []roster.Record
	for number := range count {
		records = append(records, roster.Record{
			Address: address(number + 1), Boot: 1, Service: "desk", State: state, Slots: 3,
		})
	}

	return records
}

func newFixture(t *testing.T, count int) *fixture {
	t.Helper()

	router := steering.New(steering.Config{Boot: start})
	f := &fixture{T: t, is: is.New(t), now: start, router: router, flows: map[flow.Endpoint]uint16{}}
	f.router.SetTable(table(t, 1, toService("desk")))
	f.router.Apply(f.now, agents(count, roster.Ready), true)
	f.router.Confirm(start, start)

	return f
}

// confirmAfterPause lets the router run until what it reads is not of before a pause, and
// confirms the list of agents.
func (f *fixture) confirmAfterPause() {
	f.now = f.now.Add(250 * time.Millisecond)
	f.router.Confirm(f.now, f.now)
}

func client(number int) flow.Key {
	ip := netip.AddrFrom4([4]byte{192, 0, byte(number >> 14), byte(number >> 6)})

	return flow.Key{
		Client: flow.Endpoint{IP: ip.As4(), Port: uint16(20_000 + number%64)}, Service: service,
	}
}

func openHeader(key flow.Key) flow.Header {
	return flow.Header{Source: key.Client, Destination: key.Service, Open: true}
}

func requestHeader(key flow.Key, acknowledged uint32) flow.Header {
	return flow.Header{Source: key.Client, Destination: key.Service, Acks: true, Acknowledged: acknowledged, Length: 10}
}

// openFlow opens a flow and returns the agent that holds it.
func (f *fixture) openFlow(key flow.Key) flow.Endpoint {
	f.Helper()

	actions := f.router.Packet(f.now, openHeader(key), []byte("open"))
	f.checkOne(actions, steering.Forward)

	agent := actions[0].To
	f.flows[agent]++
	f.router.Accepted(f.now, agent, key, roster.Load{Flows: f.flows[agent]})

	return agent
}

// checkOne checks that there is a single action of the given kind, and returns it.
func (f *fixture) checkOne(actions []steering.Action, kind steering.ActionKind) steering.Action {
	f.Helper()
	f.is.Helper()
	f.is.Equal(len(actions), 1)
	f.is.Equal(actions[0].Kind, kind)

	return actions[0]
}

// askedAgents advances the time until the batched questions are due, and returns the
// agents that are asked about a flow.
func (f *fixture) askedAgents(key flow.Key, actions []steering.Action) []flow.Endpoint {
	f.Helper()
	f.is.Helper()
	f.is.Equal(len(actions), 0)

	due, waiting := f.router.Due()
	f.is.True(waiting)
	f.now = due
	f.questions = map[flow.Endpoint]uint32{}

	var found []flow.Endpoint

	for _, action := range f.router.Tick(f.now) {
		f.is.Equal(action.Kind, steering.Locate)
		f.is.Equal(action.Question.Keys, []flow.Key{key})
		found = append(found, action.To)
		f.questions[action.To] = action.Question.ID
	}

	return found
}

// askedAfterFirst returns the agents that are asked after the first one by rank, which
// denies that it holds the flow.
func (f *fixture) askedAfterFirst(key flow.Key, actions []steering.Action) (first flow.Endpoint, next []flow.Endpoint) {
	f.Helper()
	f.is.Helper()

	asked := f.askedAgents(key, actions)
	f.is.Equal(len(asked), 1)

	return asked[0], f.askedAgents(key, f.answer(asked[0], flow.Absent))
}

// answer passes the answer of an agent to the last question.
func (f *fixture) answer(agent flow.Endpoint, answer flow.Answer) []steering.Action {
	f.Helper()

	return f.router.Located(f.now, agent, f.questions[agent], []flow.Answer{answer})
}
