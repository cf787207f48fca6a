package controller

import (
	"bytes"
	"net/netip"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"jayspindle/internal/state/catalog"
	"jayspindle/internal/transport/identity"
)

// Settings configures a controller. Bootstrap and Owners are used only while the
// data directory is new. Exactly one controller of a new group has Bootstrap
// set; all others join it through Peers.
type Settings struct {
	Name      string         `yaml:"name" validate:"required,max=63"`
	Data      string         `yaml:"data" validate:"required"`                   // directory
	Listen    netip.AddrPort `yaml:"listen" validate:"required"`                 // UDP, reachable by the peers
	Peers     []string       `yaml:"peers" validate:"max=20,dive,hostname_port"` // the other controllers
	Identity  identity.Files `yaml:"identity" validate:"required"`
	Bootstrap bool           `yaml:"bootstrap"` // create a new group
	Owners    []Owner        `yaml:"owners" validate:"required_if=Bootstrap true,omitempty,len=2,dive"`
	Debug     string         `yaml:"debug" validate:"omitempty,hostname_port"` // TCP on loopback, expvar
	// SnapshotEntries is the number of applied log entries between two
	// snapshots, 10,000 by default.
	SnapshotEntries uint64 `yaml:"snapshot_entries" validate:"max=50000"`
}

// Owner is one of the two owners that a new group starts with.
type Owner struct {
	Name string `yaml:"name" validate:"required,max=63"`
	Key  string `yaml:"key" validate:"required"` // "ed25519:BASE64"
}

// Parse decodes settings strictly: an unknown key is an error.
func Parse(content []byte) (Settings, error) {
	var settings Settings

	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict(), yaml.Validator(validator.New()))
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, newError("parse", KindSettings, err)
	}

	return settings, settings.check()
}

func (s Settings) check() error {
	if err := validator.New().Struct(s); err != nil {
		return newError("check", KindSettings, err)
	}

	if !s.Listen.IsValid() || s.Listen.Addr().IsUnspecified() {
		return newError("check", KindSettings, errors.Errorf("listen is %s, but must be reachable by others", s.Listen))
	}

	if _, err := s.peers(); err != nil {
		return err
	}

	if s.Debug != "" {
		debug, err := netip.ParseAddrPort(s.Debug)
		if err != nil || !debug.Addr().IsLoopback() {
			return newError("check", KindSettings, errors.Errorf("debug is %q, but must be a loopback address", s.Debug))
		}
	}

	if s.Bootstrap {
		_, err := s.initialOwners()

		return err
	}

	return nil
}

// peers returns the addresses of the other controllers.
func (s Settings) peers() ([]netip.AddrPort, error) {
	peers := make([]netip.AddrPort, 0, len(s.Peers))

	for _, text := range s.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, newError("check", KindSettings, errors.Annotatef(err, "peer %q", text))
		}

		if peer != s.Listen {
			peers = append(peers, peer)
		}
	}

	return peers, nil
}

// initialOwners returns the owners that a new group starts with.
func (s Settings) initialOwners() ([2]catalog.Owner, error) {
	var owners [2]catalog.Owner

	if len(s.Owners) != len(owners) {
		return owners, newError("check", KindSettings, errors.Errorf("%d owners instead of %d", len(s.Owners), len(owners)))
	}

	for i, owner := range s.Owners {
		key, err := identity.ParsePublicKey(owner.Key)
		if err != nil {
			return owners, newError("check", KindSettings, errors.Annotatef(err, "owner %q", owner.Name))
		}

		owners[i] = catalog.Owner{Name: owner.Name, Key: key}
	}

	return owners, nil
}
