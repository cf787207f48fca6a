package settings_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/settings"
)

type example struct {
	Instance settings.Instance `yaml:"instance" validate:"required"`
	Listen   netip.AddrPort    `yaml:"listen" validate:"required"`
	Timeout  time.Duration     `yaml:"timeout" validate:"min=1ms,max=10s"`
}

const valid = `instance:
  name: balancer-1
  environment: production
  zone: kokura
listen: 127.0.0.1:4433
timeout: 3s
`

// Guards against decoded values that differ from those in the file.
func TestDecode(t *testing.T) {
	is := is.New(t)

	decoded, err := settings.Decode[example]("example.yaml", []byte(valid))
	is.NoErr(err)
	is.Equal(decoded.Instance.Zone, "kokura")
	is.Equal(decoded.Listen, netip.MustParseAddrPort("127.0.0.1:4433"))
	is.Equal(decoded.Timeout, 3*time.Second)
}

// Guards against a process that starts with a typo in its settings, and against
// errors that don't state the position of the fault.
func TestDecodeFaults(t *testing.T) {
	for name, test := range map[string]struct{ text, message string }{
		"unknown key": {
			valid + "listn: x\n",
			"settings: decode: syntax: example.yaml:7:1: unknown field \"listn\"",
		},
		"duplicate key": {
			valid + "timeout: 4s\n",
			"settings: decode: syntax: example.yaml:7:1: mapping key \"timeout\" already defined at [6:1]",
		},
		"no unit": {
			"instance: {name: a, environment: trial, zone: b}\nlisten: 127.0.0.1:1\ntimeout: 3\n",
			"settings: decode: syntax: example.yaml:3:10: " +
				"cannot unmarshal uint64 into Go struct field example.Timeout of type time.Duration",
		},
		"two faults": {
			"instance: {name: a, environment: staging, zone: b}\nlisten: 127.0.0.1:1\ntimeout: 1m\n",
			"settings: validate: invalid: " +
				"example.yaml:1: instance.environment: found \"staging\", allowed: one of trial, production\n" +
				"example.yaml:3: timeout: found \"1m0s\", allowed: at most 10s",
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Decode[example]("example.yaml", []byte(test.text))
			is.New(t).Equal(err.Error(), test.message)
		})
	}
}
