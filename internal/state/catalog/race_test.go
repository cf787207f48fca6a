package catalog

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/soak"
)

// intent is an acceptance that an owner gave. A rejection that was applied
// withdraws those of both owners; one that the network lost cannot.
type intent struct {
	owner, key, environment string
	version                 uint64
	digest                  [32]byte
}

// world drives two replicas with racing operators and a network that loses
// answers, repeats, delays and alters commands.
type world struct {
	*log
	random   *rand.Rand
	replica  *Catalog // restored from its snapshot now and then
	sent     [][]byte
	keys     map[string]ed25519.PrivateKey
	intents  map[intent]bool
	accepted map[string]map[uint64][32]byte
	answers  map[[32]byte]Result
	highest  view.Incarnation
	counts   map[string]int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		log: newLog(t), random: rand.New(rand.NewPCG(seed, 0)), replica: founded(t),
		keys:    map[string]ed25519.PrivateKey{"ann": private(1), "bob": private(2)},
		intents: map[intent]bool{}, answers: map[[32]byte]Result{}, counts: map[string]int{},
		accepted: map[string]map[uint64][32]byte{Trial: {}, Production: {}, Owners: {}},
	}

	return w
}

func (w *world) environment() string { return []string{Trial, Production, Owners}[w.random.IntN(3)] }

func (w *world) owner() string { return []string{"ann", "bob"}[w.random.IntN(2)] }

// decide returns an owner's honest decision on what is pending, altered in one
// field now and then.
func (w *world) decide() Command {
	environment, owner := w.environment(), w.owner()
	pending, _ := w.state.Pending(environment)

	decision := document.Accept
	if w.random.IntN(8) == 0 {
		decision = document.Reject
	}

	sign := Sign{
		Environment: environment, Version: pending.Version, Digest: pending.Digest, Owner: owner,
		Signature: document.Sign(w.keys[owner], environment, pending.Version, pending.Digest, decision),
	}

	if decision == document.Accept {
		w.intents[w.intentOf(owner, environment, pending.Version, pending.Digest)] = true
	}

	switch w.random.IntN(12) {
	case 0:
		sign.Environment = w.environment()
	case 1:
		sign.Owner = w.owner()
	case 2:
		sign.Version++
	case 3:
		decision = document.Accept
	}

	if decision == document.Reject {
		reject := Reject(sign)

		return Command{Reject: &reject}
	}

	return Command{Sign: &sign}
}

func (w *world) intentOf(owner, environment string, version uint64, digest [32]byte) intent {
	key := string(w.keys[owner].Public().(ed25519.PublicKey))

	return intent{owner: owner, key: key, environment: environment, version: version, digest: digest}
}

func (w *world) propose() Command {
	id := fmt.Sprintf("c%d", w.random.IntN(100_000))
	environment := w.environment()
	base := w.state.Version(environment) - min(uint64(w.random.IntN(4)/3), w.state.Version(environment))

	switch environment {
	case Owners:
		owner := w.owner()

		return Command{ReplaceOwner: &ReplaceOwner{
			Base: base, ChangeID: id, Author: w.owner(), Owner: owner, NewName: owner,
			NewKey: public(byte(10 + 2*w.random.IntN(3) + len(owner+"x")%2 + int(owner[0]%2))),
		}}
	case Production:
		if trial, ok := w.state.ExplainVersion(Trial, w.state.Version(Trial)); ok && w.random.IntN(4) > 0 {
			return Command{Promote: &Promote{Base: base, ChangeID: id, Author: w.owner(), Digest: trial.Digest}}
		}
	}

	data := yamlOf(1+w.random.IntN(4), fmt.Sprint(w.random.IntN(20)))

	return Command{Submit: &Submit{Environment: environment, Base: base, ChangeID: id, Author: w.owner(), Document: data}}
}

func (w *world) member() Command {
	incarnation := view.Incarnation(1 + w.random.IntN(int(w.highest)+2))

	switch w.random.IntN(8) {
	case 0:
		phase := []Phase{PhaseDraining, PhaseGone}[w.random.IntN(2)]

		return Command{Leave: &Leave{Environment: Trial, Incarnation: incarnation, Phase: phase}}
	case 1:
		return Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{incarnation, incarnation + 1}}}
	case 2:
		return Command{SetWeight: &SetWeight{Environment: Trial, Incarnation: incarnation, Weight: uint8(w.random.IntN(110))}}
	case 3:
		return Command{RotateKey: &RotateKey{
			Environment: Trial, Rotation: uint64(w.random.IntN(6)), Secret: [32]byte{byte(w.random.IntN(9))},
		}}
	default:
		return announceOf(fmt.Sprintf("s%d", w.random.IntN(4)), w.random.IntN(20), w.random.Uint64N(200))
	}
}

// next returns a new command, one that was sent before, or an altered one.
func (w *world) next() []byte {
	w.now = w.now.Add(time.Duration(w.random.IntN(8)-1) * time.Second)
	kind := w.random.IntN(20)

	if len(w.sent) > 0 && kind < 5 {
		encoded := w.sent[w.random.IntN(len(w.sent))]
		if kind == 0 {
			encoded = bytes.Clone(encoded)
			encoded[w.random.IntN(len(encoded))] ^= byte(1 << w.random.IntN(8))
		}

		return encoded
	}

	var command Command

	switch {
	case kind < 9:
		command = w.propose()
	case kind < 16:
		command = w.decide()
	default:
		command = w.member()
	}

	encoded := w.encode(command)
	w.sent = append(w.sent, encoded)

	return encoded
}

func (w *world) step() {
	w.t.Helper()

	is := is.New(w.t)
	encoded := w.next()
	before := snapshotOf(w.t, w.state)
	versions := map[string]uint64{}

	for environment := range w.accepted {
		versions[environment] = w.state.Version(environment)
	}

	w.index++
	result := w.state.Apply(w.index, encoded)
	is.Equal(w.replica.Apply(w.index, encoded), result) // replicas answer alike

	after := snapshotOf(w.t, w.state)
	if result.Kind != "" && result.Kind != KindConflict {
		is.True(bytes.Equal(before, after)) // a refused command changes nothing
	}

	if result.Status == Rejected {
		for _, owner := range []string{"ann", "bob"} {
			delete(w.intents, w.intentOf(owner, result.Environment, result.Version, result.Digest))
		}
	}

	w.counts[string(result.Kind)]++
	w.checkAnswer(encoded, result)

	for environment, version := range versions {
		w.checkVersion(environment, version)
	}

	if result.Incarnation > w.highest {
		w.highest = result.Incarnation
	}

	if w.random.IntN(20) == 0 {
		w.replica = restored(w.t, snapshotOf(w.t, w.replica))
		assertView(w.t, w.state, Trial)
		assertView(w.t, w.state, Production)
	}
}

// checkAnswer asserts that a resend of a submission gets the first answer.
func (w *world) checkAnswer(encoded []byte, result Result) {
	w.t.Helper()

	command, err := decodeCommand(encoded)
	if err != nil || command.Submit == nil && command.Promote == nil && command.ReplaceOwner == nil {
		return
	}

	command.Time = 0
	contents := hashCommand(command)

	if first, ok := w.answers[contents]; ok {
		is.New(w.t).Equal(result, first) // first answer
	} else if result.Kind == "" || result.Kind == KindConflict {
		w.answers[contents] = result
	}
}

// checkVersion asserts that a version came into force by one step and with
// the acceptance of both owners, and that no version changes.
func (w *world) checkVersion(environment string, old uint64) {
	w.t.Helper()

	is := is.New(w.t)
	version := w.state.Version(environment)
	is.True(version == old || version == old+1)

	if version > old {
		record, ok := w.state.ExplainVersion(environment, version)
		is.True(ok)

		for _, owner := range []string{"ann", "bob"} {
			is.True(w.intents[w.intentOf(owner, environment, version, record.Digest)]) // both owners accept
		}

		if environment == Production {
			is.True(w.state.ledgers[Trial].acceptedDigest(record.Digest) != nil)
		}

		w.accepted[environment][version] = record.Digest
		w.counts["accepted "+environment]++

		if environment == Owners {
			w.takeKeys()
		}
	}

	for number, digest := range w.accepted[environment] {
		record, ok := w.state.ExplainVersion(environment, number)
		is.True(ok && record.Digest == digest) // an accepted version never changes
	}
}

func (w *world) takeKeys() {
	for _, owner := range w.state.CurrentOwners() {
		for seed := range byte(20) {
			if bytes.Equal(public(seed), owner.Key) {
				w.keys[owner.Name] = private(seed)
			}
		}
	}
}

// Guards against lost, doubled or reverted changes under racing operators,
// resends, lost answers, replayed and altered commands, and replicas that
// restart from a snapshot at any moment.
func TestRacingOperators(t *testing.T) {
	soak.Run(t, 6, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed)
		for range 250 {
			w.step()
		}

		is.New(t).True(bytes.Equal(snapshotOf(t, w.state), snapshotOf(t, w.replica))) // replicas are identical
		is.New(t).True(w.counts["accepted trial"]+w.counts["accepted owners"] > 0)    // the run reached acceptances
		t.Log(w.counts)
	})
}

// Guards against bytes in the log or in a snapshot that stop a controller.
func FuzzApply(f *testing.F) {
	w := newLog(f)
	data := yamlOf(1, "one")
	f.Add(w.encode(submitOf(Trial, 0, "c", data)))
	f.Add(w.encode(signOf("ann", Trial, 1, document.Digest(data))))
	f.Add(w.encode(announceOf("s0", 1, 1)))
	f.Add(w.encode(Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{1}}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		l := newLog(t)
		l.accept(Trial, data)

		before := snapshotOf(t, l.state)
		if result := l.state.Apply(l.index+1, encoded); result.Kind != "" && result.Kind != KindConflict {
			is.New(t).True(bytes.Equal(before, snapshotOf(t, l.state))) // a refused command changes nothing
		}
	})
}

// Guards against damaged snapshots that are accepted and break an invariant
// later, and against a failed restore that leaves half a state.
func FuzzRestore(f *testing.F) {
	l := newLog(f)
	l.accept(Trial, yamlOf(1, "one"))
	l.ok(announceOf("s0", 1, 1))
	l.ok(submitOf(Trial, 1, "c", yamlOf(2, "two")))
	l.ok(signOf("ann", Trial, 2, document.Digest(yamlOf(2, "two"))))
	f.Add(snapshotOf(f, l.state))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		state := founded(t)
		before := snapshotOf(t, state)

		if err := state.Restore(encoded); err != nil {
			is.New(t).True(bytes.Equal(before, snapshotOf(t, state))) // a failed restore changes nothing
			return
		}

		next := &log{t: t, state: state, now: start0, index: state.Index() + 1}
		if next.index > 0 && next.index < 1<<60 {
			next.apply(signOf("bob", Trial, 2, document.Digest(yamlOf(2, "two"))))
			next.apply(announceOf("s0", 1, 2))
		}

		state.View(Trial)
	})
}
