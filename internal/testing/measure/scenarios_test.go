package measure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/testing/measure"
	"jayspindle/internal/testing/soak"
)

// Guards against the loss of an agent that breaks flows of other agents. Also
// checks that the loss does break such flows under the modulo method.
func TestAgentLoss(t *testing.T) {
	soak.Run(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		got, err := measure.AgentLoss(measure.FlowsConfig{
			Seed: seed, Balancers: 4, Services: 2, Agents: 8, Flows: 400, Steps: 40, Lag: 4,
		})
		is.NoErr(err)
		is.Equal(got.ByConnectionID.Broken, 0)
		is.True(got.Held > 0 && got.ByConnectionID.Flows == 400-got.Held)
		is.True(got.ByModulo.Broken > 0)
	})
}

// Guards against agents that hold more than 1.25 times the mean number of flows.
// Also checks that the wrong reports of the scenario mislead a method that uses
// them.
func TestFlowBalance(t *testing.T) {
	soak.Run(t, 1, func(t *testing.T, seed uint64) {
		is := is.New(t)
		config := measure.FlowBalanceConfig{Seed: seed, Agents: 7, FlowsPerAgent: 500}
		is.True(measure.FlowBalance(config) <= 1.25)

		config.Method = measure.FlowsByLeastReported
		is.True(measure.FlowBalance(config) > 1.25)
	})
}

// Guards against non-idempotent requests that run twice or are lost. Also checks
// that the injected faults are severe enough for methods without claims to fail.
func TestExecutions(t *testing.T) {
	soak.Run(t, 2, func(t *testing.T, seed uint64) {
		is := is.New(t)
		config := measure.ExecutionsConfig{Seed: seed, Agents: 7, Zones: 3, Rate: 20, Mean: 80 * time.Millisecond}
		got := measure.Executions(config)
		t.Logf("seed %d: %+v", seed, got)
		is.Equal(got.Twice, 0)
		is.Equal(got.Lost, 0)
		is.Equal(got.Wrong, 0)
		is.True(got.Answered > got.Requests*9/10)

		config.Method = measure.RunOnce
		is.True(measure.Executions(config).Lost > 0)

		for _, method := range []measure.RunMethod{measure.RunAgain, measure.RunByMemory} {
			config.Method = method
			is.True(measure.Executions(config).Twice > 0)
		}
	})
}

// Guards against datagrams that are not forwarded as part of an established flow,
// and against allocations per datagram.
func TestForwarding(t *testing.T) {
	is := is.New(t)
	got, err := measure.Forwarding(measure.ForwardingConfig{Services: 2, Agents: 10, Batches: 200})
	is.NoErr(err)
	is.True(got.Bare > 0 && got.Path > 0)
	is.Equal(got.Dropped, 0)
	is.True(got.Allocations < 0.05) // the measurement itself allocates a little
}

// Guards against services whose size differs from the design page.
func TestServices(t *testing.T) {
	is := is.New(t)
	agents := map[string]int{"crew-link": 7, "sheet-desk": 3, "listing-desk": 7, "cert-vault": 4}

	for _, service := range measure.Services() {
		is.Equal(service.Agents, agents[service.Service])
	}

	is.Equal(len(measure.Services()), len(agents))
}
