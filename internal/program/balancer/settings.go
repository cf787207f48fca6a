package balancer

import (
	"net/netip"
	"time"

	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
	"jayspindle/internal/transport/identity"
)

// Settings configures a balancer.
type Settings struct {
	Instance  settings.Instance  `yaml:"instance" validate:"required"`
	Telemetry telemetry.Settings `yaml:"telemetry"`
	Identity  identity.Files     `yaml:"identity" validate:"required"`
	Upstreams []netip.AddrPort   `yaml:"upstreams" validate:"min=1,max=16"` // controllers or relays

	Data  netip.AddrPort `yaml:"data" validate:"required"`  // UDP, datagrams to and from agents
	Relay netip.AddrPort `yaml:"relay" validate:"required"` // UDP, links of subscribers

	// ListenHost replaces the host of each service address and keeps its port.
	// Without it the balancer listens on the service addresses themselves.
	ListenHost netip.Addr    `yaml:"listen_host"`
	Workers    int           `yaml:"workers" validate:"min=1,max=64"` // sockets and goroutines per address
	Linger     time.Duration `yaml:"linger" validate:"min=0,max=10m"` // time of forwarding after reporting not ready
}
