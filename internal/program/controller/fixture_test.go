package controller

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/document"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = 40 * time.Second

// testGroup is a group of controllers with real links on loopback.
type testGroup struct {
	t         *testing.T
	ctx       context.Context
	directory string
	authority *identity.Authority
	owners    map[string]*identity.PrivateKey
	settings  []Settings
	instances []*instance
	issued    int
}

type instance struct {
	*Controller
	cancel context.CancelFunc
	result chan error
}

// stop stops a controller as in a planned stop and returns the result of Run.
func (i *instance) stop() error {
	i.cancel()

	err := <-i.result
	i.result <- err

	return err
}

func newGroup(t *testing.T, size int) *testGroup {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)

	g := &testGroup{t: t, ctx: ctx, directory: t.TempDir(), owners: make(map[string]*identity.PrivateKey)}

	var err error

	g.authority, err = identity.CreateAuthority(g.path("ca.pem"), g.path("ca.key"), "ca", time.Now())
	is.New(t).NoErr(err)

	var founders []Owner

	for _, name := range []string{"ann", "bob"} {
		key, err := identity.NewKey()
		is.New(t).NoErr(err)

		g.owners[name] = key
		founders = append(founders, Owner{Name: name, Key: identity.FormatPublicKey(key.PublicKey())})
	}

	var peers []string

	for i := range size {
		address := freeAddress(t)
		peers = append(peers, address.String())
		name := fmt.Sprintf("controller-%d", i)
		g.settings = append(g.settings, Settings{
			Name: name, Data: g.path(name), Listen: address, Owners: founders, Bootstrap: i == 0,
			Identity: g.files(identity.Identity{Role: identity.RoleController, Environment: "all", Name: name}),
		})
	}

	for i := range size {
		g.settings[i].Peers = peers
		g.instances = append(g.instances, g.start(g.settings[i]))
	}

	g.waitForVoters(size)
	g.eventually("all controllers hold the state", func() bool {
		for _, started := range g.instances {
			if snapshot, _ := started.Publisher(catalog.Trial).Snapshot(); snapshot.View() == nil {
				return false
			}
		}

		return true
	})

	return g
}

func (g *testGroup) path(name string) string { return filepath.Join(g.directory, name) }

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()

	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(t).NoErr(err)
	defer socket.Close()

	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (g *testGroup) files(holder identity.Identity) identity.Files {
	g.t.Helper()

	g.issued++
	files := identity.Files{
		Certificate: g.path(fmt.Sprintf("%d.pem", g.issued)),
		Key:         g.path(fmt.Sprintf("%d.key", g.issued)),
		Authorities: []string{g.path("ca.pem")},
	}
	is.New(g.t).NoErr(g.authority.Issue(holder, files.Certificate, files.Key, time.Now()))

	return files
}

func (g *testGroup) start(settings Settings) *instance {
	g.t.Helper()

	g.issued++
	created, err := New(settings, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(uint64(g.issued), 1)))
	is.New(g.t).NoErr(err)

	ctx, cancel := context.WithCancel(g.ctx)
	started := &instance{Controller: created, cancel: cancel, result: make(chan error, 1)}

	go func() { started.result <- started.Run(ctx) }()

	g.t.Cleanup(func() { started.stop() })

	return started
}

// client returns a client of the given controllers, or of all if none is given.
func (g *testGroup) client(holder identity.Identity, targets ...*instance) *Client {
	g.t.Helper()

	var addresses []netip.AddrPort
	for _, target := range targets {
		addresses = append(addresses, target.Address())
	}

	for i := 0; len(targets) == 0 && i < len(g.settings); i++ {
		addresses = append(addresses, g.settings[i].Listen)
	}

	store, err := identity.OpenStore(g.files(holder), slog.New(slog.DiscardHandler))
	is.New(g.t).NoErr(err)

	dialed := link.Dial(link.ClientOptions{
		Addresses: addresses, Identity: store, Random: rand.New(rand.NewPCG(uint64(g.issued), 2)),
		PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleController}},
	})
	g.t.Cleanup(dialed.Close)

	return NewClient(dialed)
}

var operatorIdentity = identity.Identity{Role: identity.RoleOperator, Environment: "all", Name: "operator"}

func (g *testGroup) operator(targets ...*instance) *Client {
	return g.client(operatorIdentity, targets...)
}

// eventually waits until a condition holds. It fails the test at testTimeout.
func (g *testGroup) eventually(description string, holds func() bool) {
	g.t.Helper()

	for !holds() {
		if g.ctx.Err() != nil {
			g.t.Fatalf("condition was not met: %s", description)
		}

		sleep(g.ctx, 20*time.Millisecond)
	}
}

func (g *testGroup) waitForVoters(count int) {
	g.t.Helper()

	operator := g.operator()
	g.eventually("all controllers are voters", func() bool {
		reply, err := operator.Members(g.ctx)
		if err != nil || len(reply.Members) != count {
			return false
		}

		for _, member := range reply.Members {
			if !member.Voter {
				return false
			}
		}

		return true
	})
}

// leader returns the index of the leader.
func (g *testGroup) leader() int {
	g.t.Helper()

	reply, err := g.operator().Status(g.ctx, catalog.Trial)
	is.New(g.t).NoErr(err)

	for i, settings := range g.settings {
		if settings.Name == reply.Leader {
			return i
		}
	}

	g.t.Fatalf("leader %q is unknown", reply.Leader)

	return 0
}

func (g *testGroup) follower() int { return (g.leader() + 1) % len(g.settings) }

// newDocument returns a document whose service has the given key and slots.
func newDocument(key ed25519.PublicKey, slots int) []byte {
	return fmt.Appendf(nil, `schema: 1
services:
  - name: crew-link
    address: 127.0.0.1:7001
    key: %s
    slots: %d
    connections: 2000
    limits: {first_packets: 20000/s}
    classes:
      - {name: report, method: POST, path: /, urgency: 0, idempotent: false, deadline: 2s, min_share: 10%%}
`, identity.FormatPublicKey(key), slots)
}

func newSubmission(base uint64, id, author string, content []byte) control.Submit {
	return control.Submit{
		Environment: catalog.Trial, Base: base, ChangeID: id, Author: author, Reason: "test", Document: content,
	}
}

// acceptDocument submits a document and signs it as both owners.
func (g *testGroup) acceptDocument(operator *Client, base uint64, id string, content []byte) {
	g.t.Helper()

	is := is.New(g.t)
	reply, err := operator.Submit(g.ctx, newSubmission(base, id, "ann", content))
	is.NoErr(err)
	is.Equal(reply.State, control.StatePending)

	digest := sha256.Sum256(content)

	for name, key := range g.owners {
		text := document.SignedText(catalog.Trial, base+1, digest, document.Accept)
		reply, err = operator.Sign(g.ctx, control.Sign{
			Environment: catalog.Trial, Version: base + 1, Digest: digest[:],
			Owner: name, Signature: key.SignMessage(text),
		})
		is.NoErr(err)
		is.Equal(reply.Refusal, "")
	}

	is.Equal(reply.State, control.StateAccepted)
}

func (i *instance) replica() raft.ReplicaID { return i.initialIdentity.Replica }
