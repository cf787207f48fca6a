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

// world is a router with a document and agents.
type world struct {
	*testing.T
	is     *is.I
	now    time.Time
	router *steering.Router
	flows  map[flow.Endpoint]uint16 // open flows of each agent

	questions map[flow.Endpoint]uint32 // the last one to each agent
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

func newWorld(t *testing.T, count int) *world {
	t.Helper()

	router := steering.New(steering.Config{Boot: start})
	w := &world{T: t, is: is.New(t), now: start, router: router, flows: map[flow.Endpoint]uint16{}}
	w.router.Follow(table(t, 1, toService("desk")))
	w.router.Apply(w.now, agents(count, roster.Ready), true)
	w.router.Confirm(start)

	return w
}

func client(number int) flow.Key {
	ip := netip.AddrFrom4([4]byte{192, 0, byte(number >> 14), byte(number >> 6)})

	return flow.Key{
		Client: flow.Endpoint{IP: ip.As4(), Port: uint16(20_000 + number%64)}, Service: service,
	}
}

func opening(key flow.Key) flow.Header {
	return flow.Header{Source: key.Client, Destination: key.Service, Open: true}
}

func request(key flow.Key, acknowledged uint32) flow.Header {
	return flow.Header{Source: key.Client, Destination: key.Service, Acks: true, Acknowledged: acknowledged, Length: 10}
}

// open opens a flow and returns the agent that holds it.
func (w *world) open(key flow.Key) flow.Endpoint {
	w.Helper()

	actions := w.router.Packet(w.now, opening(key), []byte("open"))
	w.one(actions, steering.Forward)

	agent := actions[0].To
	w.flows[agent]++
	w.router.Accepted(w.now, agent, key, roster.Load{Flows: w.flows[agent]})

	return agent
}

// one checks that there is one action, and its kind.
func (w *world) one(actions []steering.Action, kind steering.ActionKind) steering.Action {
	w.Helper()
	w.is.Helper()
	w.is.Equal(len(actions), 1)
	w.is.Equal(actions[0].Kind, kind)

	return actions[0]
}

// asked lets the time pass in which questions are gathered and returns the
// agents that are asked for a flow.
func (w *world) asked(key flow.Key, actions []steering.Action) []flow.Endpoint {
	w.Helper()
	w.is.Helper()
	w.is.Equal(len(actions), 0)

	due, waiting := w.router.Due()
	w.is.True(waiting)
	w.now = due
	w.questions = map[flow.Endpoint]uint32{}

	var found []flow.Endpoint

	for _, action := range w.router.Tick(w.now) {
		w.is.Equal(action.Kind, steering.Locate)
		w.is.Equal(action.Question.Keys, []flow.Key{key})
		found = append(found, action.To)
		w.questions[action.To] = action.Question.ID
	}

	return found
}

// answer passes the answer of an agent to the last question.
func (w *world) answer(agent flow.Endpoint, answer flow.Answer) []steering.Action {
	w.Helper()

	return w.router.Located(w.now, agent, w.questions[agent], []flow.Answer{answer})
}
