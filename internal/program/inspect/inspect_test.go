package inspect_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/gate"
	"jayspindle/internal/program/inspect"
	"jayspindle/internal/program/registry"
	"jayspindle/internal/program/sidecar"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
	"jayspindle/internal/state/wal"
)

// waitTimeout limits the wait for a condition.
const waitTimeout = 20 * time.Second

const (
	innerPort = 22_100
	dataPort  = 22_101
)

var (
	controller = endpoint("127.0.38.1")
	agent      = netip.MustParseAddr("127.0.38.2")
	key        = flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 40_000},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
	}
)

func endpoint(text string) flow.Endpoint {
	found, _ := flow.NewEndpoint(netip.AddrPortFrom(netip.MustParseAddr(text), innerPort))

	return found
}

// noopCodec ignores packets: the tests send none.
type noopCodec struct{}

func (noopCodec) Decode([]byte) (flow.Header, error) { return flow.Header{}, nil }

func (noopCodec) Restore([]byte) {}

func (noopCodec) SetDeclinable([]byte, bool) {}

func (noopCodec) AppendReset(buffer []byte, _ flow.Key, _ uint32) []byte { return buffer }

// program is a controller or an agent.
type program interface {
	Run(ctx context.Context) error
}

// run runs a program until the test ends.
func run(t *testing.T, started program) {
	t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- started.Run(ctx) }()

	t.Cleanup(func() {
		stop()
		is.New(t).NoErr(<-done)
	})
}

// deploy starts a controller with a document, and an agent whose backend server
// has just started.
func deploy(t *testing.T) {
	t.Helper()

	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	seeds := func() []flow.Endpoint { return []flow.Endpoint{controller} }

	interpret := func(document []byte) (*route.Document, error) {
		decoded := &route.Document{}

		return decoded, json.Unmarshal(document, decoded)
	}

	r, err := registry.New(registry.Settings{
		Files:          wal.WithoutModes(),
		ControlAddress: controller.AddrPort(), Directory: t.TempDir(), Seeds: seeds, Bootstrap: true,
	}, interpret, logger)
	is.NoErr(err)
	run(t, r)

	encoded, err := json.Marshal(route.Document{
		Version: 4, Services: []string{"desk"}, Routes: []route.Route{{
			Name: "counter", Address: key.Service.AddrPort(), Timeout: time.Second,
			Targets: []route.Target{{Service: "desk", Weight: 1}},
		}},
	})
	is.NoErr(err)

	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if _, err = r.Submit(context.Background(), 4, encoded); err == nil {
			break
		}

		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}

	s, err := sidecar.New(sidecar.Settings{
		Zone: "north", Service: "desk", Data: netip.AddrPortFrom(agent, dataPort),
		Outbound: netip.AddrPortFrom(agent, 22_102), Backend: netip.AddrPortFrom(agent, 22_103),
		ControlAddress: netip.AddrPortFrom(agent, innerPort), ClientPort: dataPort, Seeds: seeds, ReportInterval: time.Minute,
	}, noopCodec{}, logger)
	is.NoErr(err)
	run(t, s)

	_, err = s.Report(gate.Report{ID: "a", Service: "desk", StartMillis: time.Now().UnixMilli(), Sequence: 1, Slots: 2})
	is.NoErr(err)
}

// withInspector runs a query with an inspector of its own and a short timeout.
func withInspector[T any](t *testing.T, query func(ctx context.Context, i *inspect.Inspector) T) T {
	t.Helper()

	i, err := inspect.New(netip.MustParseAddrPort("127.0.38.9:0"), slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)

	defer i.Close()

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	return query(ctx, i)
}

// TestFleet guards against a report that lacks the state of controllers or
// agents, or that shows a dead controller as alive.
func TestFleet(t *testing.T) {
	deploy(t)

	absent := endpoint("127.0.38.3")
	fleet := func(controllers ...flow.Endpoint) *inspect.Fleet {
		return withInspector(t, func(ctx context.Context, i *inspect.Inspector) *inspect.Fleet {
			return i.Fleet(ctx, controllers)
		})
	}

	for deadline := time.Now().Add(waitTimeout); ; {
		found := fleet(controller)
		if len(found.Agents) == 1 && found.Agents[0].State == "ready" && found.Controllers[0].Settled {
			is.New(t).Equal(found.Controllers[0].Version, uint64(4))
			is.New(t).Equal(found.Agents[0].Zone, "north")

			break
		}

		if time.Now().After(deadline) {
			t.Fatalf("the agent is not listed as ready: %+v", found)
		}
	}

	found := fleet(controller, absent)
	is.New(t).True(found.Controllers[0].Answers)
	is.New(t).True(!found.Controllers[1].Answers)

	t.Run("flow", func(t *testing.T) {
		is := is.New(t)
		found := withInspector(t, func(ctx context.Context, i *inspect.Inspector) *inspect.Flow {
			answer, err := i.Flow(ctx, []flow.Endpoint{controller}, key)
			is.NoErr(err)

			return answer
		})

		is.Equal(found.Route, "counter")
		is.Equal(found.Targets, []inspect.Target{{Service: "desk", Weight: 1}})
		is.Equal(len(found.Agents), 1)
		is.Equal(found.Agents[0].Answer, "does not hold it")
		is.True(!found.Held())
	})

	t.Run("no controller answers", func(t *testing.T) {
		withInspector(t, func(ctx context.Context, i *inspect.Inspector) bool {
			_, err := i.Flow(ctx, []flow.Endpoint{absent}, key)
			is.New(t).True(err != nil)

			return true
		})
	})
}
