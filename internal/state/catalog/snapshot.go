package catalog

import (
	"errors"
	"fmt"
	"slices"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
)

// snapshotFormat is the version byte of a snapshot.
const snapshotFormat = 1

// snapshot is the encoded form of a Catalog. All other fields of a Catalog are
// derived from it.
type snapshot struct {
	Format       uint8              `cbor:"1,keyasint"`
	Cluster      [16]byte           `cbor:"2,keyasint"`
	Generation   uint64             `cbor:"3,keyasint"`
	Index        uint64             `cbor:"4,keyasint"`
	Owners       [2]Owner           `cbor:"5,keyasint"`
	Ledgers      []ledgerState      `cbor:"6,keyasint"`
	Environments []environmentState `cbor:"7,keyasint"`
	Answers      []*answer          `cbor:"8,keyasint"`
	Chunks       [][]byte           `cbor:"9,keyasint"`
	Approvals    *approvals         `cbor:"10,keyasint,omitempty"` // only in a group without owners
}

type ledgerState struct {
	Name       string     `cbor:"1,keyasint"`
	Version    uint64     `cbor:"2,keyasint"`
	Pending    *change    `cbor:"3,keyasint"`
	Rejections [][32]byte `cbor:"4,keyasint"`
	Changes    []*change  `cbor:"5,keyasint"`
}

type environmentState struct {
	Name            string         `cbor:"1,keyasint"`
	Index           uint64         `cbor:"2,keyasint"`
	NextServiceID   uint32         `cbor:"3,keyasint"`
	NextIncarnation uint32         `cbor:"4,keyasint"`
	Services        []view.Service `cbor:"5,keyasint"`
	Members         []member       `cbor:"6,keyasint"`
	RetiredBoots    []BootID       `cbor:"7,keyasint"`
	Starts          []start        `cbor:"8,keyasint"`
	Keys            []view.Key     `cbor:"9,keyasint"`
	Rotations       uint64         `cbor:"10,keyasint"`
}

// Snapshot encodes the state. Equal states have equal bytes. The bytes contain the
// secrets of the fabric keys.
func (c *Catalog) Snapshot() ([]byte, error) {
	chunks := chunkTable{numbers: map[*chunk]uint32{}}
	state := snapshot{
		Format: snapshotFormat, Cluster: c.cluster, Generation: c.generation, Index: c.index,
		Owners: c.owners, Answers: c.answers.order, Approvals: c.approvals,
	}

	for _, name := range []string{Trial, Production, Owners} {
		state.Ledgers = append(state.Ledgers, c.ledgers[name].state(&chunks))
	}

	state.Chunks = chunks.data

	for _, name := range []string{Trial, Production} {
		state.Environments = append(state.Environments, c.environments[name].state())
	}

	encoded, err := canonical.Marshal(state)
	if err != nil {
		return nil, newError("snapshot", KindEncoding, err)
	}

	return encoded, nil
}

// chunkTable numbers the chunks of a snapshot, so that documents that share a
// chunk store it once.
type chunkTable struct {
	numbers map[*chunk]uint32
	data    [][]byte // by number
}

// add returns the numbers of the chunks of a text.
func (c *chunkTable) add(t chunkedText) []uint32 {
	numbers := make([]uint32, 0, len(t))

	for _, part := range t {
		number, ok := c.numbers[part]
		if !ok {
			number = uint32(len(c.data))
			c.numbers[part] = number
			c.data = append(c.data, []byte(part.data))
		}

		numbers = append(numbers, number)
	}

	return numbers
}

func (l *ledger) state(chunks *chunkTable) ledgerState {
	store := func(c *change) *change {
		stored := *c
		stored.Chunks = chunks.add(c.text)

		return &stored
	}

	state := ledgerState{Name: l.name, Version: l.version, Rejections: l.rejections}
	for _, c := range l.changes {
		state.Changes = append(state.Changes, store(c))
	}

	if l.pending != nil {
		state.Pending = store(l.pending)
	}

	return state
}

func (e *environment) state() environmentState {
	state := environmentState{
		Name: e.name, Index: e.index, NextServiceID: e.nextServiceID, NextIncarnation: e.nextIncarnation,
		Services: e.services, Members: make([]member, 0, len(e.members)), RetiredBoots: e.retired.order,
		Starts: e.starts.order, Keys: e.keys, Rotations: e.rotations,
	}

	for _, m := range e.members {
		state.Members = append(state.Members, m)
	}

	slices.SortFunc(state.Members, func(a, b member) int { return int(int64(a.Incarnation) - int64(b.Incarnation)) })

	return state
}

// Restore replaces the state with that of a snapshot. Bytes that are not a
// consistent snapshot are refused with KindEncoding and change nothing.
func (c *Catalog) Restore(encoded []byte) error {
	var state snapshot
	if err := strict.Unmarshal(encoded, &state); err != nil {
		return newError("restore", KindEncoding, err)
	}

	restored, err := state.restore()
	if err != nil {
		return newError("restore", KindEncoding, err)
	}

	*c = *restored

	return nil
}

func (s *snapshot) restore() (*Catalog, error) {
	if s.Format != snapshotFormat {
		return nil, fmt.Errorf("found format %d, allowed: %d", s.Format, snapshotFormat)
	}

	if len(s.Ledgers) != 3 || len(s.Environments) != 2 {
		return nil, fmt.Errorf("found %d ledgers and %d environments, allowed: 3 and 2",
			len(s.Ledgers), len(s.Environments))
	}

	restored, err := New(GroupConfig{
		Cluster: s.Cluster, Generation: s.Generation, Owners: s.Owners, Preapproved: s.Approvals != nil,
	})
	if err != nil {
		return nil, err
	}

	restored.approvals = s.Approvals

	restored.index = s.Index

	chunks := make([]*chunk, 0, len(s.Chunks))
	for _, data := range s.Chunks {
		chunks = append(chunks, &chunk{data: string(data)})
	}

	for _, state := range s.Ledgers {
		if err := restored.restoreLedger(state, chunks); err != nil {
			return nil, fmt.Errorf("ledger %q: %w", state.Name, err)
		}
	}

	for _, state := range s.Environments {
		if err := restored.restoreEnvironment(state); err != nil {
			return nil, fmt.Errorf("environment %q: %w", state.Name, err)
		}
	}

	for _, a := range s.Answers {
		if a == nil || restored.answers.byID[a.ID] != nil {
			return nil, errors.New("an answer is empty or duplicated")
		}

		restored.answers.add(a.ID, a.CommandHash, a.Result)
	}

	return restored, restored.checkRestored()
}

func (c *Catalog) restoreLedger(state ledgerState, chunks []*chunk) error {
	ledger, ok := c.ledgers[state.Name]
	if !ok || ledger.changes != nil || ledger.version != 0 {
		return errors.New("the name is unknown or duplicated")
	}

	ledger.version = state.Version
	ledger.rejections = state.Rejections
	ledger.changes = state.Changes
	ledger.pending = state.Pending

	changes := slices.Clone(state.Changes)
	if state.Pending != nil {
		changes = append(changes, state.Pending)
	}

	for _, change := range changes {
		if change == nil {
			return errors.New("a change is empty")
		}

		for _, number := range change.Chunks {
			if uint64(number) >= uint64(len(chunks)) {
				return fmt.Errorf("found chunk %d, allowed: below %d", number, len(chunks))
			}

			change.text = append(change.text, chunks[number])
		}

		change.Chunks = nil
	}

	return nil
}

func (c *Catalog) restoreEnvironment(state environmentState) error {
	env, ok := c.environments[state.Name]
	if !ok || env.nextServiceID != 1 || env.nextIncarnation != 1 || env.services != nil {
		return errors.New("the name is unknown or duplicated")
	}

	env.index = state.Index
	env.nextServiceID, env.nextIncarnation = state.NextServiceID, state.NextIncarnation
	env.keys, env.rotations = state.Keys, state.Rotations
	env.indexServices(state.Services)

	ids := map[view.ServiceID]bool{}
	for _, service := range env.services {
		if uint32(service.ID) >= env.nextServiceID || service.ID == 0 {
			return fmt.Errorf("service %q has ID %d, which was not assigned", service.Name, service.ID)
		}

		ids[service.ID] = true
	}

	if len(ids) != len(env.services) || len(env.byName) != len(env.services) {
		return errors.New("two services have one ID or name")
	}

	for _, m := range state.Members {
		if m.Role == RoleAgent && !ids[m.Service] || uint32(m.Incarnation) >= env.nextIncarnation {
			return fmt.Errorf("member %d has no service, or was not assigned", m.Incarnation)
		}

		env.put(m)
	}

	if len(env.members) != len(state.Members) || len(env.byBoot) != len(env.members) ||
		len(env.byAddress) != len(env.members) {
		return errors.New("two members have one incarnation, boot ID or address")
	}

	for _, boot := range state.RetiredBoots {
		env.retired.add(boot)
	}

	for _, s := range state.Starts {
		env.starts.add(s)
	}

	env.pendingChanges = newViewChanges()

	return nil
}

// checkRestored refuses a state in which accepting the pending change would
// break an invariant.
func (c *Catalog) checkRestored() error {
	for name, ledger := range c.ledgers {
		if latest := ledger.acceptedByVersion(ledger.version); ledger.version > 0 &&
			(latest == nil || !latest.matchesDigest()) {
			return fmt.Errorf("ledger %q: version %d is missing or does not have its digest", name, ledger.version)
		}

		pending := ledger.pending
		if pending == nil {
			continue
		}

		if pending.Status != Pending || pending.Version != ledger.version+1 || len(pending.Signatures) > 1 ||
			!pending.matchesDigest() {
			return fmt.Errorf("ledger %q: the pending change is not valid", name)
		}

		for _, signature := range pending.Signatures {
			if !c.isValidAcceptance(ledger, signature) {
				return fmt.Errorf("ledger %q: the signature of %s is not valid", name, signature.Owner)
			}
		}

		if err := c.checkPending(name, pending); err != nil {
			return fmt.Errorf("ledger %q: %w", name, err)
		}
	}

	return nil
}

func (c *Catalog) checkPending(name string, pending *change) error {
	if name == Owners {
		_, err := c.ownersAfter(pending.text.bytes())

		return err
	}

	services, err := c.parse(pending.text.bytes(), pending.Digest)
	if err != nil {
		return err
	}

	return c.environments[name].checkServices(services)
}

func (c *change) matchesDigest() bool {
	return document.Digest(c.text.bytes()) == c.Digest
}
