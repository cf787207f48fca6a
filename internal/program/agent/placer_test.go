package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
)

// scriptedRunner is a runner that returns the results in turn.
type scriptedRunner struct {
	results []*result
	calls   int
}

func (s *scriptedRunner) run(context.Context, *call) *result {
	s.calls++

	if s.calls > len(s.results) {
		return notRun(causeNoBackend, "script ended")
	}

	return s.results[s.calls-1]
}

func answered(body string) *result {
	return &result{
		state: peer.Answered, status: http.StatusOK, header: http.Header{},
		body: io.NopCloser(strings.NewReader(body)),
	}
}

func agentsOf(count int) []view.Agent {
	agents := make([]view.Agent, 0, count)
	for i := range count {
		agents = append(agents, view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: 1, Zone: "a", Weight: view.MaxWeight, State: view.Active,
		})
	}

	return agents
}

// newScripted returns a placer of agent 1 whose runners share the results.
func newScripted(agents int, results ...*result) (*placer, *scriptedRunner) {
	shared := &scriptedRunner{results: results}
	p := newPlacer(func() view.Incarnation { return 1 }, shared, func(view.Agent) runner { return shared },
		rand.New(rand.NewPCG(1, 2)), noop.NewTracerProvider().Tracer(""))
	p.update(agentsOf(agents))

	return p, shared
}

func TestPlace(t *testing.T) {
	refused := notRun(causeShed, "shed")
	broken := unknown(causeNoResponse, "broken")

	cases := map[string]struct {
		class   view.Class
		results []*result
		state   peer.State
		calls   int
	}{
		// Guards against a second run of a request that may have run.
		"non-idempotent, broken": {report, []*result{broken, answered("")}, peer.Unknown, 1},
		"non-idempotent, shed":   {report, []*result{refused, answered("")}, peer.Answered, 2},
		"idempotent, broken":     {alert, []*result{broken, answered("")}, peer.Answered, 2},
		// Guards against "not run" for a request whose earlier attempt may have run.
		"idempotent, broken then shed": {alert, []*result{broken, refused, refused, refused}, peer.Unknown, 4},
		// Guards against unlimited retries.
		"always shed": {alert, []*result{refused, refused, refused, refused, refused}, peer.NotRun, 4},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, shared := newScripted(3, test.results...)
				assertState(t, p.place(t.Context(), newTestCall(test.class, "POST")), test.state)
				is.New(t).Equal(shared.calls, test.calls)
			})
		})
	}

	// Guards against "not run" for a feed that the agent's own backend server may
	// have received.
	t.Run("local first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p, _ := newScripted(3, broken, refused, refused, refused, refused)
			assertState(t, p.placeLocalFirst(t.Context(), newTestCall(feed, "GET")), peer.Unknown)
		})
	})

	// Guards against retries that multiply the load when all attempts are refused.
	t.Run("budget", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p, shared := newScripted(3)
			for range 200 {
				assertState(t, p.place(t.Context(), newTestCall(alert, "POST")), peer.NotRun)
			}

			is.New(t).True(shared.calls <= 200+retryBurst+20)
		})
	})
}

// Guards against an agent that takes no new work after its suspension has ended,
// or that aborts its requests in progress during the suspension.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newScripted(3)
		own, other := &scriptedRunner{}, &scriptedRunner{}
		p.local, p.siblingRunner = own, func(view.Agent) runner { return other }

		for range 100 {
			own.results = append(own.results, answered(""))
			other.results = append(other.results, answered(""))
		}

		running := p.place(t.Context(), newTestCall(alert, "POST")) // in progress throughout

		update := func(state view.State) int {
			agents := agentsOf(3)
			agents[0].State = state
			p.update(agents)

			before := own.calls
			for range 30 {
				assertState(t, p.place(t.Context(), newTestCall(alert, "POST")), peer.Answered)
			}

			return own.calls - before
		}

		is.Equal(update(view.Suspended), 0)
		is.True(update(view.Active) >= 9) // its share is 10
		is.NoErr(running.body.Close())
	})
}
