// Package load is the load client of tests, measurements and the demo. It
// simulates callers and the fabric: every datagram of a flow goes to a balancer
// picked at random.
//
// # Usage
//
//	client, err := load.New(config, logger, tracer)
//	result, err := client.Run(ctx)
//	err = result.WriteTable(os.Stdout)
//
// Runs are bounded by the duration in the settings, and the same seed gives
// the same sequence of requests for each caller.
package load

import (
	"context"
	"crypto/x509"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/program/backend"
)

// ledgerReadDelay lets requests in progress end before the ledgers are read.
const ledgerReadDelay = 500 * time.Millisecond

// Client drives the workloads of its settings.
type Client struct {
	config Settings
	roots  *x509.CertPool
	fabric *fabric
	result *Result
	logger *slog.Logger
	tracer trace.Tracer
}

// New returns a load client.
func New(config Settings, logger *slog.Logger, tracer trace.Tracer) (*Client, error) {
	encoded, err := os.ReadFile(config.Authority)
	if err != nil {
		return nil, newError("read authority", KindFile, err)
	}

	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(encoded) {
		return nil, newError("read authority", KindFile,
			errors.Errorf("%s contains no PEM certificate", config.Authority))
	}

	return &Client{
		config: config,
		roots:  roots,
		fabric: newFabric(config.Balancers, logger),
		result: newResult(),
		logger: logger,
		tracer: tracer,
	}, nil
}

// Run drives the workloads for the configured duration or until the context
// ends, and returns what the callers saw.
func (c *Client) Run(ctx context.Context) (*Result, error) {
	polling, stopPolling := context.WithCancel(ctx)

	var group conc.WaitGroup

	group.Go(func() { c.fabric.poll(polling) })

	running, cancel := context.WithTimeout(ctx, c.config.Duration)
	c.runCallers(running)
	cancel()
	stopPolling()
	group.Wait()
	time.Sleep(ledgerReadDelay)

	var runs map[string]int

	if len(c.config.Ledgers) > 0 {
		var err error
		if runs, err = backend.CountRuns(c.config.Ledgers...); err != nil {
			return nil, errors.Trace(err)
		}
	}

	c.result.finish(runs)

	return c.result, nil
}

func (c *Client) runCallers(ctx context.Context) {
	var group conc.WaitGroup

	seed := c.config.Seed

	for _, workload := range c.config.Workloads {
		for number := range workload.Callers {
			seed++
			name := fmt.Sprintf("%s-%d", workload.Name, number)
			random := rand.New(rand.NewPCG(seed, 0))
			group.Go(func() {
				if err := newCaller(c, name, workload, random).run(ctx); err != nil {
					c.logger.Error("caller stopped", "caller", name, "error", err)
				}
			})
		}
	}

	group.Wait()
}
