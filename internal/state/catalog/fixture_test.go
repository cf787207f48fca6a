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

var startTime = time.Unix(1_800_000_000, 0)

func privateKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
}

func publicKey(seed byte) ed25519.PublicKey { return privateKey(seed).Public().(ed25519.PublicKey) }

var (
	keys                = map[string]ed25519.PrivateKey{"ann": privateKey(1), "bob": privateKey(2)}
	serviceKey          = privateKey(9)
	formattedServiceKey = document.FormatKey(publicKey(9))
)

func newCatalog(t testing.TB) *Catalog {
	t.Helper()

	state, err := New(GroupConfig{Owners: [2]Owner{{Name: "ann", Key: publicKey(1)}, {Name: "bob", Key: publicKey(2)}}})
	is.New(t).NoErr(err)

	return state
}

// newDocument returns a YAML document with services s0 to s<count-1>.
func newDocument(count int, comment string) []byte {
	var text strings.Builder

	fmt.Fprintf(&text, "# %s\nschema: 1\nservices:\n", comment)

	for i := range count {
		limits, classes := "*l", "*c"
		if i == 0 {
			limits = "&l {first_packets: 20000/s}"
			classes = "&c [{name: a, method: GET, path: /, urgency: 0, idempotent: true, deadline: 2s, min_share: 10%}]"
		}

		fmt.Fprintf(&text, "  - {name: s%d, address: 10.%d.%d.1:70, key: %q, ", i, i/200, i%200, formattedServiceKey)
		fmt.Fprintf(&text, "slots: 3, connections: 9, limits: %s, classes: %s}\n", limits, classes)
	}

	return []byte(text.String())
}

// commandLog applies commands to a catalog as consecutive log entries.
type commandLog struct {
	t     testing.TB
	state *Catalog
	index uint64
	now   time.Time
}

func newCommandLog(t testing.TB) *commandLog {
	return &commandLog{t: t, state: newCatalog(t), now: startTime}
}

func (l *commandLog) encode(command Command) []byte {
	l.t.Helper()

	encoded, err := command.Encode(l.now)
	is.New(l.t).NoErr(err)

	return encoded
}

func (l *commandLog) apply(command Command) Result {
	l.t.Helper()

	l.index++

	return l.state.Apply(l.index, l.encode(command))
}

// mustRefuse asserts that a command is refused with the kind and changes nothing.
func (l *commandLog) mustRefuse(kind Kind, command Command) Result {
	l.t.Helper()

	is := is.New(l.t)
	before := takeSnapshot(l.t, l.state)
	result := l.apply(command)

	is.Equal(result.Kind, kind)                              // kind of the refusal
	is.True(bytes.Equal(before, takeSnapshot(l.t, l.state))) // a refused command changes nothing
	var failure *Error
	is.True(errors.As(result.Err(), &failure))
	is.Equal(failure.Kind(), kind) // typed error

	return result
}

func (l *commandLog) mustApply(command Command) Result {
	l.t.Helper()

	result := l.apply(command)
	is.New(l.t).NoErr(result.Err())

	return result
}

func submitCommand(environment string, base uint64, id string, data []byte) Command {
	return Command{Submit: &Submit{Environment: environment, Base: base, ChangeID: id, Author: "ann", Document: data}}
}

func signCommand(owner, environment string, version uint64, digest [32]byte) Command {
	return Command{Sign: &Sign{
		Environment: environment, Version: version, Digest: digest, Owner: owner,
		Signature: document.Sign(keys[owner], environment, version, digest, document.Accept),
	}}
}

func rejectCommand(owner, environment string, version uint64, digest [32]byte) Command {
	return Command{Reject: &Reject{
		Environment: environment, Version: version, Digest: digest, Owner: owner,
		Signature: document.Sign(keys[owner], environment, version, digest, document.Reject),
	}}
}

// mustAccept submits a document, which both owners sign.
func (l *commandLog) mustAccept(environment string, data []byte) Result {
	l.t.Helper()

	base := l.state.Version(environment)
	l.mustApply(submitCommand(environment, base, fmt.Sprintf("%s-%d", environment, l.index), data))
	l.mustApply(signCommand("ann", environment, base+1, document.Digest(data)))
	result := l.mustApply(signCommand("bob", environment, base+1, document.Digest(data)))
	is.New(l.t).Equal(result.Status, Accepted)

	return result
}

func newBootID(number uint64) BootID {
	random := rand.New(rand.NewPCG(number, 1))

	var boot BootID
	for i := range boot {
		boot[i] = byte(random.Uint32())
	}

	return boot
}

func newAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000)
}

// announceCommand returns a signed announcement of an agent of a service.
func announceCommand(service string, number int, boot uint64) Command {
	announce := Announce{
		Environment: Trial, Role: RoleAgent, Service: service, Zone: "kokura",
		DataAddress: newAddress(number), PeerAddress: newAddress(number), Boot: newBootID(boot),
	}
	announce.Signature = ed25519.Sign(serviceKey, announce.SignedText())

	return Command{Announce: &announce}
}

func takeSnapshot(t testing.TB, state *Catalog) []byte {
	t.Helper()

	encoded, err := state.Snapshot()
	is.New(t).NoErr(err)

	return encoded
}

func restoreCatalog(t testing.TB, encoded []byte) *Catalog {
	t.Helper()

	state := newCatalog(t)
	is.New(t).NoErr(state.Restore(encoded))

	return state
}

// assertView asserts that the incrementally updated view equals the one that is
// built from a restored state.
func assertView(t testing.TB, state *Catalog, environment string) *view.View {
	t.Helper()

	is := is.New(t)
	encoded := takeSnapshot(t, state)
	restored := restoreCatalog(t, encoded)
	is.True(bytes.Equal(takeSnapshot(t, restored), encoded)) // a restored state has the same bytes

	incremental, rebuilt := state.View(environment), restored.View(environment)
	is.Equal(incremental.Position(), rebuilt.Position())
	is.Equal(incremental.Digest(), rebuilt.Digest()) // digest of the incremental view
	is.True(slices.Equal(incremental.Agents(), rebuilt.Agents()))

	return incremental
}

func replaceOnce(data []byte, old, next string) []byte {
	return bytes.Replace(data, []byte(old), []byte(next), 1)
}
