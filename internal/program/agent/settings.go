package agent

import (
	"net/netip"
	"time"

	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
	"jayspindle/internal/transport/identity"
)

// Settings configures an agent.
type Settings struct {
	Instance  settings.Instance  `yaml:"instance" validate:"required"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	Identity  identity.Files     `yaml:"identity" validate:"required"`
	Upstreams []netip.AddrPort   `yaml:"upstreams" validate:"min=1,max=16"` // controllers or relays

	Service    string           `yaml:"service" validate:"required"`     // name in the document
	ServiceKey string           `yaml:"service_key" validate:"required"` // proves that the agent may serve
	CallerTLS  CertificateFiles `yaml:"caller_tls" validate:"required"`

	Data netip.AddrPort `yaml:"data" validate:"required"` // UDP, datagrams from balancers
	Peer netip.AddrPort `yaml:"peer" validate:"required"` // UDP, links from siblings

	Backend                netip.AddrPort `yaml:"backend" validate:"required"` // HTTP/1.1 of the backend server
	HealthPath             string         `yaml:"health_path" validate:"omitempty,startswith=/"`
	DrainTimeout           time.Duration  `yaml:"drain_timeout" validate:"min=1s,max=24h"`
	MaxClaims              int            `yaml:"claims_at_most" validate:"min=0,max=60000"` // 0 means the default
	BackendResponseTimeout time.Duration  `yaml:"backend_silence" validate:"min=0,max=10m"`  // 0: no limit
}

// CertificateFiles names the certificate that callers see and its key.
type CertificateFiles struct {
	Certificate string `yaml:"certificate" validate:"required"`
	Key         string `yaml:"key" validate:"required"`
}
