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

// acceptance identifies an acceptance that an owner has signed. A rejection that
// is applied withdraws the acceptances of both owners; a lost one does not.
type acceptance struct {
	owner, key, environment string
	version                 uint64
	digest                  [32]byte
}

// workload applies random commands of concurrent operators to two replicas, over a
// network that loses answers and repeats, delays and alters commands.
type workload struct {
	*commandLog
	random             *rand.Rand
	replica            *Catalog // restored from its snapshot at random
	sent               [][]byte
	keys               map[string]ed25519.PrivateKey
	acceptances        map[acceptance]bool
	accepted           map[string]map[uint64][32]byte
	answers            map[[32]byte]Result
	highestIncarnation view.Incarnation
	counts             map[string]int
}

func newWorkload(t *testing.T, seed uint64) *workload {
	w := &workload{
		commandLog: newCommandLog(t), random: rand.New(rand.NewPCG(seed, 0)), replica: newCatalog(t),
		keys:        map[string]ed25519.PrivateKey{"ann": privateKey(1), "bob": privateKey(2)},
		acceptances: map[acceptance]bool{}, answers: map[[32]byte]Result{}, counts: map[string]int{},
		accepted: map[string]map[uint64][32]byte{Trial: {}, Production: {}, Owners: {}},
	}

	return w
}

func (w *workload) randomEnvironment() string {
	return []string{Trial, Production, Owners}[w.random.IntN(3)]
}

func (w *workload) randomOwner() string { return []string{"ann", "bob"}[w.random.IntN(2)] }

// decideCommand returns an owner's decision on the pending change. Some of the
// commands are altered in one field.
func (w *workload) decideCommand() Command {
	environment, owner := w.randomEnvironment(), w.randomOwner()
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
		w.acceptances[w.newAcceptance(owner, environment, pending.Version, pending.Digest)] = true
	}

	switch w.random.IntN(12) {
	case 0:
		sign.Environment = w.randomEnvironment()
	case 1:
		sign.Owner = w.randomOwner()
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

func (w *workload) newAcceptance(owner, environment string, version uint64, digest [32]byte) acceptance {
	key := string(w.keys[owner].Public().(ed25519.PublicKey))

	return acceptance{owner: owner, key: key, environment: environment, version: version, digest: digest}
}

func (w *workload) proposeCommand() Command {
	id := fmt.Sprintf("c%d", w.random.IntN(100_000))
	environment := w.randomEnvironment()
	base := w.state.Version(environment) - min(uint64(w.random.IntN(4)/3), w.state.Version(environment))

	switch environment {
	case Owners:
		owner := w.randomOwner()

		return Command{ReplaceOwner: &ReplaceOwner{
			Base: base, ChangeID: id, Author: w.randomOwner(), Owner: owner, NewName: owner,
			NewKey: publicKey(byte(10 + 2*w.random.IntN(3) + len(owner+"x")%2 + int(owner[0]%2))),
		}}
	case Production:
		if trial, ok := w.state.ExplainVersion(Trial, w.state.Version(Trial)); ok && w.random.IntN(4) > 0 {
			return Command{Promote: &Promote{Base: base, ChangeID: id, Author: w.randomOwner(), Digest: trial.Digest}}
		}
	}

	data := newDocument(1+w.random.IntN(4), fmt.Sprint(w.random.IntN(20)))

	return Command{Submit: &Submit{
		Environment: environment, Base: base, ChangeID: id, Author: w.randomOwner(), Document: data,
	}}
}

func (w *workload) memberCommand() Command {
	incarnation := view.Incarnation(1 + w.random.IntN(int(w.highestIncarnation)+2))

	switch w.random.IntN(8) {
	case 0:
		phase := []Phase{PhaseDraining, PhaseRemoved}[w.random.IntN(2)]

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
		return announceCommand(fmt.Sprintf("s%d", w.random.IntN(4)), w.random.IntN(20), w.random.Uint64N(200))
	}
}

// nextEntry returns a new command, one that was sent before, or an altered one.
func (w *workload) nextEntry() []byte {
	w.now = w.now.Add(time.Duration(w.random.IntN(8)-1) * time.Second)
	choice := w.random.IntN(20)

	if len(w.sent) > 0 && choice < 5 {
		encoded := w.sent[w.random.IntN(len(w.sent))]
		if choice == 0 {
			encoded = bytes.Clone(encoded)
			encoded[w.random.IntN(len(encoded))] ^= byte(1 << w.random.IntN(8))
		}

		return encoded
	}

	var command Command

	switch {
	case choice < 9:
		command = w.proposeCommand()
	case choice < 16:
		command = w.decideCommand()
	default:
		command = w.memberCommand()
	}

	encoded := w.encode(command)
	w.sent = append(w.sent, encoded)

	return encoded
}

func (w *workload) step() {
	w.t.Helper()

	is := is.New(w.t)
	encoded := w.nextEntry()
	before := takeSnapshot(w.t, w.state)
	versions := map[string]uint64{}

	for environment := range w.accepted {
		versions[environment] = w.state.Version(environment)
	}

	w.index++
	result := w.state.Apply(w.index, encoded)
	is.Equal(w.replica.Apply(w.index, encoded), result) // replicas return the same result

	after := takeSnapshot(w.t, w.state)
	if result.Kind != "" && result.Kind != KindConflict {
		is.True(bytes.Equal(before, after)) // a refused command changes nothing
	}

	if result.Status == Rejected {
		for _, owner := range []string{"ann", "bob"} {
			delete(w.acceptances, w.newAcceptance(owner, result.Environment, result.Version, result.Digest))
		}
	}

	w.counts[string(result.Kind)]++
	w.checkAnswer(encoded, result)

	for environment, version := range versions {
		w.checkVersion(environment, version)
	}

	if result.Incarnation > w.highestIncarnation {
		w.highestIncarnation = result.Incarnation
	}

	if w.random.IntN(20) == 0 {
		w.replica = restoreCatalog(w.t, takeSnapshot(w.t, w.replica))
		assertView(w.t, w.state, Trial)
		assertView(w.t, w.state, Production)
	}
}

// checkAnswer asserts that a resend of a submission gets the first answer.
func (w *workload) checkAnswer(encoded []byte, result Result) {
	w.t.Helper()

	command, err := decodeCommand(encoded)
	if err != nil || command.Submit == nil && command.Promote == nil && command.ReplaceOwner == nil {
		return
	}

	command.Time = 0
	contents := hashCommand(command)

	if first, ok := w.answers[contents]; ok {
		is.New(w.t).Equal(result, first) // the same answer
	} else if result.Kind == "" || result.Kind == KindConflict {
		w.answers[contents] = result
	}
}

// checkVersion asserts that the version increased by at most one, that both owners
// accepted a new version, and that no accepted version changes.
func (w *workload) checkVersion(environment string, old uint64) {
	w.t.Helper()

	is := is.New(w.t)
	version := w.state.Version(environment)
	is.True(version == old || version == old+1)

	if version > old {
		record, ok := w.state.ExplainVersion(environment, version)
		is.True(ok)

		for _, owner := range []string{"ann", "bob"} {
			is.True(w.acceptances[w.newAcceptance(owner, environment, version, record.Digest)]) // both owners accept
		}

		if environment == Production {
			is.True(w.state.ledgers[Trial].acceptedByDigest(record.Digest) != nil)
		}

		w.accepted[environment][version] = record.Digest
		w.counts["accepted "+environment]++

		if environment == Owners {
			w.updateKeys()
		}
	}

	for number, digest := range w.accepted[environment] {
		record, ok := w.state.ExplainVersion(environment, number)
		is.True(ok && record.Digest == digest) // an accepted version never changes
	}
}

func (w *workload) updateKeys() {
	for _, owner := range w.state.CurrentOwners() {
		for seed := range byte(20) {
			if bytes.Equal(publicKey(seed), owner.Key) {
				w.keys[owner.Name] = privateKey(seed)
			}
		}
	}
}

// Guards against changes that are lost, applied twice or reverted when operators
// race, answers are lost, commands are resent, replayed or altered, and replicas
// restart from a snapshot at any time.
func TestRacingOperators(t *testing.T) {
	soak.Run(t, 6, func(t *testing.T, seed uint64) {
		w := newWorkload(t, seed)
		for range 250 {
			w.step()
		}

		is.New(t).True(bytes.Equal(takeSnapshot(t, w.state), takeSnapshot(t, w.replica))) // replicas are identical
		is.New(t).True(w.counts["accepted trial"]+w.counts["accepted owners"] > 0)        // the run reached acceptances
		t.Log(w.counts)
	})
}

// Guards against bytes in a log entry that make a controller panic.
func FuzzApply(f *testing.F) {
	w := newCommandLog(f)
	data := newDocument(1, "one")
	f.Add(w.encode(submitCommand(Trial, 0, "c", data)))
	f.Add(w.encode(signCommand("ann", Trial, 1, document.Digest(data))))
	f.Add(w.encode(announceCommand("s0", 1, 1)))
	f.Add(w.encode(Command{Expire: &Expire{Environment: Trial, Incarnations: []view.Incarnation{1}}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		l := newCommandLog(t)
		l.mustAccept(Trial, data)

		before := takeSnapshot(t, l.state)
		if result := l.state.Apply(l.index+1, encoded); result.Kind != "" && result.Kind != KindConflict {
			is.New(t).True(bytes.Equal(before, takeSnapshot(t, l.state))) // a refused command changes nothing
		}
	})
}

// Guards against damaged snapshots that are accepted and violate an invariant
// later, and against a failed restore that leaves a partial state.
func FuzzRestore(f *testing.F) {
	l := newCommandLog(f)
	l.mustAccept(Trial, newDocument(1, "one"))
	l.mustApply(announceCommand("s0", 1, 1))
	l.mustApply(submitCommand(Trial, 1, "c", newDocument(2, "two")))
	l.mustApply(signCommand("ann", Trial, 2, document.Digest(newDocument(2, "two"))))
	f.Add(takeSnapshot(f, l.state))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		state := newCatalog(t)
		before := takeSnapshot(t, state)

		if err := state.Restore(encoded); err != nil {
			is.New(t).True(bytes.Equal(before, takeSnapshot(t, state))) // a failed restore changes nothing
			return
		}

		next := &commandLog{t: t, state: state, now: startTime, index: state.Index() + 1}
		if next.index > 0 && next.index < 1<<60 {
			next.apply(signCommand("bob", Trial, 2, document.Digest(newDocument(2, "two"))))
			next.apply(announceCommand("s0", 1, 2))
		}

		state.View(Trial)
	})
}
