// Package telemetry sets up the observability of a program: structured logs,
// counters on a loopback port and traces in a file.
//
// # Usage
//
//	telemetry, err := telemetry.New(settings.Telemetry, "balancer", settings.Instance)
//	if err != nil {
//		return err
//	}
//	defer telemetry.Close(context.Background())
//
//	telemetry.Logger().Info("listening", "address", address)
//	ctx, span := telemetry.Tracer().Start(ctx, "balancer.forward")
//
// The debug address serves /debug/vars (expvar) and /healthz, which the fabric
// polls to learn whether an instance takes traffic.
package telemetry

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/state/settings"
)

const (
	readHeaderTimeout = 2 * time.Second
	traceFileMode     = 0o600
)

// Settings configures logs, counters and traces of a process.
type Settings struct {
	LogLevel     slog.Level     `yaml:"log_level"`
	LogFormat    string         `yaml:"log_format" validate:"omitempty,oneof=text json"`
	DebugAddress netip.AddrPort `yaml:"debug_address"` // optional, loopback only
	TraceFile    string         `yaml:"trace_file"`    // optional
	TraceRatio   float64        `yaml:"trace_ratio" validate:"min=0,max=1"`
}

// Telemetry holds the logger, the tracer and the debug server of a process.
type Telemetry struct {
	logger      *slog.Logger
	provider    *sdktrace.TracerProvider
	tracer      trace.Tracer
	traceFile   *os.File
	sampler     sdktrace.Sampler // of spans without a parent
	debugServer *http.Server
	ready       atomic.Bool
	group       conc.WaitGroup
}

// New starts telemetry for a program. The caller must call Close.
func New(config Settings, program string, instance settings.Instance) (*Telemetry, error) {
	telemetry := &Telemetry{logger: newLogger(config, program, instance)}

	if err := telemetry.openTraces(config, program, instance); err != nil {
		return nil, err
	}

	if err := telemetry.serveDebug(config.DebugAddress); err != nil {
		return nil, err
	}

	return telemetry, nil
}

func newLogger(config Settings, program string, instance settings.Instance) *slog.Logger {
	options := &slog.HandlerOptions{Level: config.LogLevel}

	var handler slog.Handler = slog.NewJSONHandler(os.Stderr, options)
	if config.LogFormat == "text" {
		handler = slog.NewTextHandler(os.Stderr, options)
	}

	return slog.New(handler).With(
		"program", program, "instance", instance.Name, "environment", instance.Environment, "zone", instance.Zone)
}

func (t *Telemetry) openTraces(config Settings, program string, instance settings.Instance) error {
	if config.TraceFile == "" {
		t.provider = sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample()))
		t.tracer = t.provider.Tracer("jayspindle")

		return nil
	}

	file, err := os.OpenFile(config.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return newError("open trace file", KindFile, err)
	}

	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return newError("open trace file", KindFile, errors.Trace(err))
	}

	t.traceFile = file
	t.sampler = sdktrace.TraceIDRatioBased(config.TraceRatio)
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		// Each hop adopts the sampling decision of the previous one, so that a
		// sampled request has all of its spans.
		sdktrace.WithSampler(sdktrace.ParentBased(t.sampler)),
		sdktrace.WithIDGenerator(idGenerator{}),
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName(program), semconv.ServiceInstanceID(instance.Name),
			semconv.CloudAvailabilityZone(instance.Zone))),
	)
	t.tracer = t.provider.Tracer("jayspindle")

	return nil
}

func (t *Telemetry) serveDebug(address netip.AddrPort) error {
	if !address.IsValid() {
		return nil
	}

	if !address.Addr().IsLoopback() {
		return newError("serve debug address", KindInvalid,
			errors.Errorf("debug_address %s is not a loopback address", address))
	}

	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return newError("serve debug address", KindNetwork, err)
	}

	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", t.handleHealth)

	t.debugServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	t.group.Go(func() {
		if err := t.debugServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.logger.Error("debug server stopped", "error", err)
		}
	})

	return nil
}

func (t *Telemetry) handleHealth(response http.ResponseWriter, _ *http.Request) {
	if !t.ready.Load() {
		http.Error(response, "not ready", http.StatusServiceUnavailable)

		return
	}

	if _, err := response.Write([]byte("ok\n")); err != nil {
		t.logger.Debug("health check not answered", "error", err)
	}
}

// Publish publishes the value of a function under a name in /debug/vars. A later
// call with the same name replaces the function, so that a test process can run
// several instances of a program.
func Publish(name string, value func() any) {
	variable := &replaceableVar{}
	variable.value.Store(&value)

	publishMutex.Lock()
	defer publishMutex.Unlock()

	if existing, ok := expvar.Get(name).(*replaceableVar); ok {
		existing.value.Store(&value)

		return
	}

	expvar.Publish(name, variable)
}

// publishMutex makes the lookup and the publication of a name atomic.
var publishMutex sync.Mutex

// replaceableVar is an expvar.Var whose function can be replaced.
type replaceableVar struct{ value atomic.Pointer[func() any] }

// String returns the value as JSON.
func (v *replaceableVar) String() string { return expvar.Func(*v.value.Load()).String() }

// Logger returns the logger of the process.
func (t *Telemetry) Logger() *slog.Logger { return t.logger }

// Tracer returns the tracer of the process.
func (t *Telemetry) Tracer() trace.Tracer { return t.tracer }

// SetReady sets whether /healthz reports that the instance takes traffic.
func (t *Telemetry) SetReady(ready bool) { t.ready.Store(ready) }

// Close flushes traces and stops the debug server.
func (t *Telemetry) Close(ctx context.Context) {
	if err := t.provider.Shutdown(ctx); err != nil {
		t.logger.Warn("traces not flushed", "error", err)
	}

	if t.traceFile != nil {
		if err := t.traceFile.Close(); err != nil {
			t.logger.Warn("trace file not closed", "error", err)
		}
	}

	if t.debugServer != nil {
		if err := t.debugServer.Close(); err != nil {
			t.logger.Warn("debug server not closed", "error", err)
		}
	}

	t.group.Wait()
}
