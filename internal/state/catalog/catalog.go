// Package catalog is the replicated state machine of the control plane. It
// holds the documents and signatures of the two co-owners, the members and
// fabric keys of each environment, and produces the views that instances
// apply.
//
// # Usage
//
//	state, err := catalog.New(catalog.GroupConfig{Cluster: id, Owners: owners})
//	entry, err := catalog.Command{Submit: &catalog.Submit{...}}.Encode(now) // at the leader
//	result := state.Apply(index, entry)                                     // at every replica
//	if err := result.Err(); err != nil {
//		// A *catalog.Error: the command was refused.
//	}
//	published := state.View(catalog.Trial)
//
// Apply depends on nothing but the state and the entry, so replicas that apply
// the same log are identical to the byte. A refused command changes nothing;
// only the answer to a submission that lost a race is remembered, so that its
// resend gets the same answer. One goroutine owns a Catalog; the views that it
// returns are immutable and can be shared.
package catalog

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"log/slog"

	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// The environments. Owners stands for the co-owners themselves in Sign,
// Reject, History and Explain; it has no view.
const (
	Trial      = "trial"
	Production = "production"
	Owners     = "owners"
)

// Owner is one of the two co-owners.
type Owner struct {
	Name string            `cbor:"1,keyasint" json:"name"`
	Key  ed25519.PublicKey `cbor:"2,keyasint" json:"key"`
}

// GroupConfig holds the parameters that are fixed when the controller group is
// created.
type GroupConfig struct {
	Cluster    [16]byte // random ID of the group
	Generation uint64   // increases when the group is re-formed
	Owners     [2]Owner
	// Preapproved creates a group without owners, whose documents are approved
	// before they reach it.
	Preapproved bool
}

// Catalog is the replicated state.
type Catalog struct {
	cluster      [16]byte
	generation   uint64
	index        uint64 // of the last entry that changed the state
	owners       [2]Owner
	ledgers      map[string]*ledger
	environments map[string]*environment
	answers      answers
	approvals    *approvals        // nil in a group with owners
	parsed       [2]parsedDocument // the last two, newest first
}

// parsedDocument caches the services of a document. It does not affect results.
type parsedDocument struct {
	digest   [32]byte
	services []view.Service
}

// New returns the state of a new controller group. It refuses owners without a
// name or key, and owners with the same name or key, with KindInvalid.
func New(config GroupConfig) (*Catalog, error) {
	if err := checkOwners(config.Owners); err != nil && !config.Preapproved {
		return nil, newError("new", KindInvalid, err)
	}

	catalog := &Catalog{
		cluster:      config.Cluster,
		generation:   config.Generation,
		owners:       config.Owners,
		ledgers:      map[string]*ledger{},
		environments: map[string]*environment{},
		answers:      answers{byID: map[string]*answer{}},
	}

	if config.Preapproved {
		catalog.approvals = &approvals{}
	}

	for _, name := range []string{Trial, Production, Owners} {
		catalog.ledgers[name] = &ledger{name: name}
	}

	for _, name := range []string{Trial, Production} {
		catalog.environments[name] = newEnvironment(name)
	}

	return catalog, nil
}

func checkOwners(owners [2]Owner) error {
	for _, owner := range owners {
		if !validID(owner.Name) {
			return fmt.Errorf("found owner name %q, allowed: 1 to %d printable ASCII characters", owner.Name, maxIDBytes)
		}

		if len(owner.Key) != ed25519.PublicKeySize {
			return fmt.Errorf("found a key of %d bytes for owner %q, allowed: %d",
				len(owner.Key), owner.Name, ed25519.PublicKeySize)
		}
	}

	if owners[0].Name == owners[1].Name || bytes.Equal(owners[0].Key, owners[1].Key) {
		return fmt.Errorf("owners %q and %q have the same name or key", owners[0].Name, owners[1].Name)
	}

	return nil
}

// entry holds the index and the time of the log entry that is being applied.
type entry struct {
	index uint64
	now   int64 // Unix nanoseconds, from the leader
}

// Apply applies one log entry. Indexes must increase.
func (c *Catalog) Apply(index uint64, command []byte) Result {
	invariant.Assert(index > c.index, "catalog: the index of log entries increases",
		slog.Uint64("index", index), slog.Uint64("applied", c.index))

	decoded, err := decodeCommand(command)
	if err != nil {
		return refuse(KindEncoding, "%v", err)
	}

	result, changed := c.dispatch(entry{index: index, now: decoded.Time}, decoded)
	if changed {
		c.index = index
	}

	return result
}

// dispatch applies a command and reports whether it changed the state.
func (c *Catalog) dispatch(at entry, command Command) (Result, bool) {
	if result, changed, handled := c.dispatchDocument(at, command); handled {
		return result, changed
	}

	environment, ok := c.environments[command.environment()]
	if !ok {
		return refuse(KindInvalid, "found environment %q, allowed: %s, %s", command.environment(), Trial, Production), false
	}

	var (
		result  Result
		changed bool
	)

	switch {
	case command.Announce != nil:
		result, changed = environment.announce(at, *command.Announce)
	case command.Leave != nil:
		result, changed = environment.leave(*command.Leave)
	case command.Expire != nil:
		result, changed = environment.expire(at, *command.Expire)
	case command.SetWeight != nil:
		result, changed = environment.setWeight(*command.SetWeight)
	case command.RotateKey != nil:
		result, changed = environment.rotateKey(*command.RotateKey)
	}

	result.Environment = environment.name
	if changed {
		environment.index = at.index
	}

	return result, changed
}

// environment returns the environment of a command about members or keys.
func (c Command) environment() string {
	switch {
	case c.Announce != nil:
		return c.Announce.Environment
	case c.Leave != nil:
		return c.Leave.Environment
	case c.Expire != nil:
		return c.Expire.Environment
	case c.SetWeight != nil:
		return c.SetWeight.Environment
	default:
		return c.RotateKey.Environment
	}
}

// View returns the current view of an environment, or nil if there is no such
// environment.
func (c *Catalog) View(environment string) *view.View {
	env, ok := c.environments[environment]
	if !ok {
		return nil
	}

	ledger := c.ledgers[environment]
	digest := [32]byte{}

	if latest := ledger.acceptedByVersion(ledger.version); latest != nil {
		digest = latest.Digest
	}

	return env.view(c.generation, ledger.version, digest)
}

// Index returns the index of the last entry that changed the state.
func (c *Catalog) Index() uint64 { return c.index }

// Cluster returns the ID of the controller group.
func (c *Catalog) Cluster() [16]byte { return c.cluster }

// CurrentOwners returns the two co-owners in force.
func (c *Catalog) CurrentOwners() [2]Owner { return c.owners }

// Version returns the version in force of an environment or of Owners.
func (c *Catalog) Version(environment string) uint64 {
	if ledger, ok := c.ledgers[environment]; ok {
		return ledger.version
	}

	return 0
}

// Pending returns the pending change of an environment or of Owners.
func (c *Catalog) Pending(environment string) (Record, bool) {
	ledger, ok := c.ledgers[environment]
	if !ok || ledger.pending == nil {
		return Record{}, false
	}

	return ledger.pending.record(environment), true
}

// History returns the changes of an environment or of Owners, newest first
// and without their bytes. At most limit changes are returned, and at most
// 16,384 are kept.
func (c *Catalog) History(environment string, limit int) []Record {
	ledger, ok := c.ledgers[environment]
	if !ok {
		return nil
	}

	count := max(min(limit, len(ledger.changes)), 0)
	records := make([]Record, 0, count)

	for i := len(ledger.changes) - 1; len(records) < count; i-- {
		summary := *ledger.changes[i]
		summary.text = nil
		records = append(records, summary.record(environment))
	}

	return records
}

// Explain returns the change with the given ID.
func (c *Catalog) Explain(environment, changeID string) (Record, bool) {
	ledger, ok := c.ledgers[environment]
	if !ok {
		return Record{}, false
	}

	return recordOf(environment, ledger.byID(changeID))
}

// ExplainVersion returns the change that was accepted as the given version.
func (c *Catalog) ExplainVersion(environment string, version uint64) (Record, bool) {
	ledger, ok := c.ledgers[environment]
	if !ok {
		return Record{}, false
	}

	return recordOf(environment, ledger.acceptedByVersion(version))
}

// recordOf returns the record of a change, and false if the change is nil.
func recordOf(environment string, change *change) (Record, bool) {
	if change == nil {
		return Record{}, false
	}

	return change.record(environment), true
}
