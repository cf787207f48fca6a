package load

import (
	"net/netip"
	"time"

	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

// Settings configures a load client.
type Settings struct {
	Instance  settings.Instance  `yaml:"instance" validate:"required"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	Seed      uint64             `yaml:"seed"`
	Duration  time.Duration      `yaml:"duration" validate:"min=100ms,max=24h"`
	Authority string             `yaml:"authority" validate:"required"` // PEM file, signs the services' certificates
	Balancers []FabricBalancer   `yaml:"balancers" validate:"min=1,dive"`
	Workloads []Workload         `yaml:"workloads" validate:"min=1,dive"`
	Ledgers   []string           `yaml:"ledgers"` // files in which backend servers record runs
}

// FabricBalancer is a balancer to which the fabric can hand a datagram.
type FabricBalancer struct {
	Host   netip.Addr     `yaml:"host" validate:"required"`
	Health netip.AddrPort `yaml:"health"` // its debug address, whose health is polled if set
}

// Workload is a number of callers of one service that send the same requests.
type Workload struct {
	Name     string    `yaml:"name" validate:"required"`
	Service  string    `yaml:"service" validate:"required"` // name in the certificate
	Port     uint16    `yaml:"port" validate:"required"`
	Callers  int       `yaml:"callers" validate:"min=1,max=100000"`
	Feed     string    `yaml:"feed" validate:"omitempty,startswith=/"` // path of a feed that stays open
	Requests []Request `yaml:"requests" validate:"dive"`

	// FeedSilence is the time without an event after which a feed counts as
	// stalled. 0 turns the check off; set it to several periods of the feed.
	FeedSilence time.Duration `yaml:"feed_silence" validate:"min=0,max=24h"`
}

// Request is a kind of request that each caller of a workload sends.
type Request struct {
	Class      string        `yaml:"class" validate:"required"`
	Method     string        `yaml:"method" validate:"oneof=GET POST"`
	Path       string        `yaml:"path" validate:"startswith=/"`
	Interval   time.Duration `yaml:"interval" validate:"min=1ms"` // mean, exponentially distributed
	Timeout    time.Duration `yaml:"timeout" validate:"min=1ms"`
	Deadline   time.Duration `yaml:"deadline" validate:"min=1ms"` // an answer after it counts as late
	Idempotent bool          `yaml:"idempotent"`
	Attempts   int           `yaml:"attempts" validate:"min=1,max=100"`
	BodySize   int           `yaml:"body_size" validate:"min=0,max=1048576"`
}
