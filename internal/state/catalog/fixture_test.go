package catalog

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
)

var start0 = time.Unix(1_800_000_000, 0)

func private(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func public(seed byte) ed25519.PublicKey { return private(seed).Public().(ed25519.PublicKey) }

var (
	keys       = map[string]ed25519.PrivateKey{"ann": private(1), "bob": private(2)}
	serviceKey = private(9)
	textKey    = document.FormatKey(public(9))
)

func founded(t testing.TB) *Catalog {
	t.Helper()

	state, err := New(Founding{Owners: [2]Owner{{Name: "ann", Key: public(1)}, {Name: "bob", Key: public(2)}}})
	is.New(t).NoErr(err)

	return state
}

// yamlOf returns a document with services s0 to s<count-1>.
func yamlOf(count int, comment string) []byte {
	var text strings.Builder

	fmt.Fprintf(&text, "# %s\nschema: 1\nservices:\n", comment)

	for i := range count {
		limits, classes := "*l", "*c"
		if i == 0 {
			limits = "&l {first_packets: 20000/s}"
			classes = "&c [{name: a, method: GET, path: /, urgency: 0, idempotent: true, deadline: 2s, min_share: 10%}]"
		}

		fmt.Fprintf(&text, "  - {name: s%d, address: 10.%d.%d.1:70, key: %q, ", i, i/200, i%200, textKey)
		fmt.Fprintf(&text, "slots: 3, connections: 9, limits: %s, classes: %s}\n", limits, classes)
	}

	return []byte(text.String())
}

// log feeds a catalog one command after another.
type log struct {
	t     testing.TB
	state *Catalog
	index uint64
	now   time.Time
}

func newLog(t testing.TB) *log { return &log{t: t, state: founded(t), now: start0} }

func (l *log) encode(command Command) []byte {
	l.t.Helper()

	encoded, err := command.Encode(l.now)
	is.New(l.t).NoErr(err)

	return encoded
}

func (l *log) apply(command Command) Result {
	l.t.Helper()

	l.index++

	return l.state.Apply(l.index, l.encode(command))
}

// refused asserts that a command is refused with the kind and changes nothing.
func (l *log) refused(kind Kind, command Command) Result {
	l.t.Helper()

	is := is.New(l.t)
	before := snapshotOf(l.t, l.state)
	result := l.apply(command)

	is.Equal(result.Kind, kind)                            // kind of the refusal
	is.True(bytes.Equal(before, snapshotOf(l.t, l.state))) // a refused command changes nothing
	var failure *Error
	is.True(errors.As(result.Err(), &failure))
	is.Equal(failure.Kind(), kind) // typed error

	return result
}

func (l *log) ok(command Command) Result {
	l.t.Helper()

	result := l.apply(command)
	is.New(l.t).NoErr(result.Err())

	return result
}

func submitOf(environment string, base uint64, id string, data []byte) Command {
	return Command{Submit: &Submit{Environment: environment, Base: base, ChangeID: id, Author: "ann", Document: data}}
}

func signOf(owner, environment string, version uint64, digest [32]byte) Command {
	return Command{Sign: &Sign{
		Environment: environment, Version: version, Digest: digest, Owner: owner,
		Signature: document.Sign(keys[owner], environment, version, digest, document.Accept),
	}}
}

func rejectOf(owner, environment string, version uint64, digest [32]byte) Command {
	return Command{Reject: &Reject{
		Environment: environment, Version: version, Digest: digest, Owner: owner,
		Signature: document.Sign(keys[owner], environment, version, digest, document.Reject),
	}}
}

// accept submits a document and lets both owners sign it.
func (l *log) accept(environment string, data []byte) Result {
	l.t.Helper()

	base := l.state.Version(environment)
	l.ok(submitOf(environment, base, fmt.Sprintf("%s-%d", environment, l.index), data))
	l.ok(signOf("ann", environment, base+1, document.Digest(data)))
	result := l.ok(signOf("bob", environment, base+1, document.Digest(data)))
	is.New(l.t).Equal(result.Status, Accepted)

	return result
}

func bootOf(number uint64) BootID {
	random := rand.New(rand.NewPCG(number, 1))

	var boot BootID
	for i := range boot {
		boot[i] = byte(random.Uint32())
	}

	return boot
}

func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000)
}

// announceOf returns a signed announcement of an agent of a service.
func announceOf(service string, number int, boot uint64) Command {
	announce := Announce{
		Environment: Trial, Role: RoleAgent, Service: service, Zone: "kokura",
		Data: addressOf(number), Peer: addressOf(number), Boot: bootOf(boot),
	}
	announce.Signature = ed25519.Sign(serviceKey, announce.SignedText())

	return Command{Announce: &announce}
}

func snapshotOf(t testing.TB, state *Catalog) []byte {
	t.Helper()

	encoded, err := state.Snapshot()
	is.New(t).NoErr(err)

	return encoded
}

func restored(t testing.TB, encoded []byte) *Catalog {
	t.Helper()

	state := founded(t)
	is.New(t).NoErr(state.Restore(encoded))

	return state
}

// assertView asserts that the view built step by step is the one that is
// built from the whole state.
func assertView(t testing.TB, state *Catalog, environment string) *view.View {
	t.Helper()

	is := is.New(t)
	encoded := snapshotOf(t, state)
	copied := restored(t, encoded)
	is.True(bytes.Equal(snapshotOf(t, copied), encoded)) // a restored state has the same bytes

	stepwise, whole := state.View(environment), copied.View(environment)
	is.Equal(stepwise.Position(), whole.Position())
	is.Equal(stepwise.Digest(), whole.Digest()) // digest of the stepwise view
	is.True(slices.Equal(stepwise.Agents(), whole.Agents()))

	return stepwise
}

func replaceOnce(data []byte, old, next string) []byte {
	return bytes.Replace(data, []byte(old), []byte(next), 1)
}
