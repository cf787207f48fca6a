// Package backend implements a simulated backend server for tests, measurements
// and the demo. It has few slots, is slow after a cold start, sheds load, honours
// cancellation and can be set to report false load.
//
// # Usage
//
//	server, err := backend.New(config, ledger, logger, tracer)
//	err = server.Run(ctx)
//
// The settings describe the routes: a fast or slow response, a non-idempotent
// request that is recorded in a ledger, or a feed of server-sent events. The
// events of a feed have the same IDs at every backend server, so that a caller
// can resume the feed at another one.
package backend

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

const (
	readHeaderTimeout = 2 * time.Second
	shutdownTimeout   = 30 * time.Second
)

// Settings configures a backend server.
type Settings struct {
	Instance  settings.Instance  `yaml:"instance" validate:"required"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	Listen    netip.AddrPort     `yaml:"listen" validate:"required"`
	Slots     int                `yaml:"slots" validate:"min=1,max=1000"`
	Ledger    string             `yaml:"ledger"` // file of executed non-idempotent requests
	Seed      uint64             `yaml:"seed"`
	ColdStart time.Duration      `yaml:"cold_start" validate:"min=0,max=10m"`
	Misreport bool               `yaml:"misreport"` // report a negative number of busy slots
	Routes    []Route            `yaml:"routes" validate:"min=1,dive"`
}

// Route describes how the requests for a method and a path are answered.
type Route struct {
	Method   string        `yaml:"method" validate:"oneof=GET POST"`
	Path     string        `yaml:"path" validate:"required,startswith=/"`
	Duration time.Duration `yaml:"duration" validate:"min=0,max=10m"` // mean; uniform between half and 1.5 times
	Size     int           `yaml:"size" validate:"min=0,max=16777216"`
	Record   bool          `yaml:"record"` // write each run to the ledger
	Feed     bool          `yaml:"feed"`   // server-sent events, one per duration
}

// Server is a simulated backend server.
type Server struct {
	config  Settings
	ledger  *Ledger
	logger  *slog.Logger
	tracer  trace.Tracer
	slots   chan struct{}
	started time.Time
	runs    atomic.Int64
	shed    atomic.Int64
	mutex   sync.Mutex // guards random
	random  *rand.Rand
	runCtx  context.Context // the context of Run; its end stops feeds
}

// New returns a backend server. It listens once Run is called.
func New(config Settings, ledger *Ledger, logger *slog.Logger, tracer trace.Tracer) *Server {
	return &Server{
		config: config,
		ledger: ledger,
		logger: logger,
		tracer: tracer,
		slots:  make(chan struct{}, config.Slots),
		random: rand.New(rand.NewPCG(config.Seed, uint64(config.Listen.Port()))),
		runCtx: context.Background(),
	}
}

// Run serves until the context ends, then waits for the requests in progress.
func (s *Server) Run(ctx context.Context) error {
	s.started = time.Now()
	s.runCtx = ctx

	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return newError("listen", KindNetwork, err)
	}

	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}

	ctx, cancel := context.WithCancel(ctx)

	var group conc.WaitGroup

	defer group.Wait()
	defer cancel() // ends the goroutine below if the listener fails

	group.Go(func() {
		<-ctx.Done()

		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()

		if err := server.Shutdown(shutdownCtx); err != nil {
			s.logger.Error("requests aborted at shutdown", "error", err)
		}
	})

	s.logger.Info("backend server listening", "address", s.config.Listen.String(), "slots", s.config.Slots)

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return newError("serve", KindNetwork, err)
	}

	return nil
}

// Handler returns the HTTP handler of the routes and of /healthz.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.handleHealth)

	for _, route := range s.config.Routes {
		handler := s.handleRequest
		if route.Feed {
			handler = s.handleFeed
		}

		mux.HandleFunc(route.Method+" "+route.Path, func(response http.ResponseWriter, request *http.Request) {
			ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))

			ctx, span := s.tracer.Start(ctx, "backend.request", trace.WithAttributes(attribute.String("path", route.Path)))
			defer span.End()

			request = request.WithContext(ctx)
			response.Header().Set("Backend-Server", s.config.Instance.Name)
			handler(response, request, route)
		})
	}

	return mux
}

// HealthReport is the response body of /healthz.
type HealthReport struct {
	Slots  int   `json:"slots"`
	Busy   int   `json:"busy"`
	Runs   int64 `json:"runs"`
	Shed   int64 `json:"shed"`
	Uptime int64 `json:"uptime_seconds"`
}

func (s *Server) handleHealth(response http.ResponseWriter, _ *http.Request) {
	report := HealthReport{
		Slots:  s.config.Slots,
		Busy:   len(s.slots),
		Runs:   s.runs.Load(),
		Shed:   s.shed.Load(),
		Uptime: int64(time.Since(s.started).Seconds()),
	}

	if s.config.Misreport {
		report.Busy = -s.randomInt(s.config.Slots + 1)
	}

	response.Header().Set("Content-Type", "application/json")

	if err := json.NewEncoder(response).Encode(report); err != nil {
		s.logger.Debug("health report not sent", "error", err)
	}
}

func (s *Server) randomInt(limit int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.random.IntN(limit)
}

// handleRequest runs a request in a slot. If no slot is free, it sheds the request,
// and the response states that the request did not run.
func (s *Server) handleRequest(response http.ResponseWriter, request *http.Request, route Route) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.shed.Add(1)
		response.Header().Set("Jayspindle-Outcome", "not-run")
		http.Error(response, "no free slot", http.StatusServiceUnavailable)

		return
	}

	if route.Record {
		if err := s.ledger.Record(request.Header.Get("Idempotency-Key")); err != nil {
			s.logger.Error("run not recorded", "error", err)
			http.Error(response, "ledger not writable", http.StatusInternalServerError)

			return
		}
	}

	s.runs.Add(1)

	if !s.simulateWork(request.Context(), route.Duration) {
		return
	}

	response.Header().Set("Content-Type", "text/plain")
	// The echo lets a caller check that the response belongs to its own request.
	response.Header().Set("Request-Echo", request.Header.Get("Request-Echo"))
	response.Header().Set("Body-Size", strconv.Itoa(route.Size))

	if _, err := response.Write([]byte(strings.Repeat("x", route.Size))); err != nil {
		s.logger.Debug("response not sent", "error", err)
	}
}

// simulateWork waits for a random service time. It returns false if the request is
// cancelled first.
func (s *Server) simulateWork(ctx context.Context, mean time.Duration) bool {
	duration := s.serviceTime(mean)
	if time.Since(s.started) < s.config.ColdStart {
		duration *= 3
	}

	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serviceTime(mean time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return mean/2 + time.Duration(s.random.Float64()*float64(mean))
}
