package identity_test

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/transport/identity"
)

// deployment creates authorities and instances in a temporary directory.
type deployment struct {
	t         *testing.T
	directory string
}

func (d deployment) path(name string) string { return filepath.Join(d.directory, name) }

func (d deployment) authority(name string) *identity.Authority {
	d.t.Helper()

	authority, err := identity.CreateAuthority(d.path(name+".pem"), d.path(name+".key"), name, time.Now())
	is.New(d.t).NoErr(err)

	return authority
}

func (d deployment) issue(authority *identity.Authority, subject identity.Identity) identity.Files {
	d.t.Helper()

	files := identity.Files{
		Certificate: d.path(subject.Name + ".pem"),
		Key:         d.path(subject.Name + ".key"),
		Authorities: []string{d.path("one.pem")},
	}
	os.Remove(files.Certificate)
	os.Remove(files.Key)
	is.New(d.t).NoErr(authority.Issue(subject, files.Certificate, files.Key, time.Now()))

	return files
}

func (d deployment) open(files identity.Files) *identity.Store {
	d.t.Helper()

	store, err := identity.OpenStore(files, slog.New(slog.DiscardHandler))
	is.New(d.t).NoErr(err)

	return store
}

// handshake runs a TLS handshake over TCP and returns the errors of the server
// and of the client.
func handshake(t *testing.T, server, client *tls.Config) (error, error) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()

	result := make(chan error, 1)

	go func() {
		socket, err := listener.Accept()
		if err == nil {
			err = tls.Server(socket, server).Handshake()
			socket.Close()
		}
		result <- err
	}()

	socket, err := net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	defer socket.Close()

	connection := tls.Client(socket, client)
	if err = connection.Handshake(); err == nil {
		io.Copy(io.Discard, connection)
	}

	socket.Close()

	return <-result, err
}

func kindOf(err error) identity.Kind {
	var typed *identity.Error
	if errors.As(err, &typed) {
		return typed.Kind()
	}

	return ""
}

var (
	balancer = identity.Identity{Role: identity.RoleBalancer, Environment: "production", Name: "entry-1"}
	agent    = identity.Identity{
		Role: identity.RoleAgent, Environment: "production", Name: "kokura-1", Service: "crew-link",
	}
)

func withFields(subject identity.Identity, role identity.Role, environment, service string) identity.Identity {
	subject.Role, subject.Environment, subject.Service = role, environment, service

	return subject
}

// Guards against accepting a peer with a different role, environment or
// authority.
func TestHandshake(t *testing.T) {
	d := deployment{t: t, directory: t.TempDir()}
	trusted, untrusted := d.authority("one"), d.authority("two")
	server := d.open(d.issue(trusted, balancer))

	cases := map[string]struct {
		signer       *identity.Authority
		subject      identity.Identity
		wantAccepted bool
	}{
		"accepted":          {trusted, agent, true},
		"other role":        {trusted, withFields(agent, identity.RoleOperator, "all", ""), false},
		"other environment": {trusted, withFields(agent, identity.RoleAgent, "trial", "crew-link"), false},
		"other authority":   {untrusted, withFields(agent, identity.RoleAgent, "production", "sheet-desk"), false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client := d.open(d.issue(c.signer, c.subject))
			policy := identity.Policy{Roles: []identity.Role{identity.RoleAgent}, Environment: "production"}
			err, _ := handshake(t, server.ServerTLS(policy), client.ClientTLS(identity.Policy{}))
			is.New(t).Equal(err == nil, c.wantAccepted)

			_, err = handshake(t, client.ServerTLS(identity.Policy{}), server.ClientTLS(policy))
			is.New(t).Equal(err == nil, c.wantAccepted && c.signer == trusted)
		})
	}
}

// Guards against a rotation that takes effect only after a restart, and against
// handshakes that fail because a rotation is only partly written.
func TestRotation(t *testing.T) {
	is := is.New(t)
	d := deployment{t: t, directory: t.TempDir()}
	oldAuthority, newAuthority := d.authority("one"), d.authority("two")
	server := d.open(d.issue(oldAuthority, balancer))
	client := d.open(d.issue(oldAuthority, agent))

	d.issue(newAuthority, agent) // replaces the files that the client's store has read
	err, _ := handshake(t, server.ServerTLS(identity.Policy{}), client.ClientTLS(identity.Policy{}))
	is.True(err != nil) // the server doesn't trust the second authority yet

	oldPEM, err := os.ReadFile(d.path("one.pem"))
	is.NoErr(err)
	newPEM, err := os.ReadFile(d.path("two.pem"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(d.path("one.pem"), append(oldPEM, newPEM...), 0o644))
	err, _ = handshake(t, server.ServerTLS(identity.Policy{}), client.ClientTLS(identity.Policy{}))
	is.NoErr(err)

	is.NoErr(os.WriteFile(d.path("kokura-1.pem"), []byte("half a cert"), 0o644))
	err, _ = handshake(t, server.ServerTLS(identity.Policy{}), client.ClientTLS(identity.Policy{}))
	is.NoErr(err) // the previous certificate stays in use
}

// Guards against private key files that other users of the machine can access,
// and against overwriting an existing key file.
func TestKeyFiles(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "owner.key")
	key, err := identity.CreateKey(path)
	is.NoErr(err)

	info, err := os.Stat(path)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o600))

	_, err = identity.CreateKey(path)
	is.Equal(kindOf(err), identity.KindFile)

	loaded, err := identity.LoadKey(path)
	is.NoErr(err)
	is.Equal(loaded.PublicKey(), key.PublicKey())

	parsed, err := identity.ParsePublicKey(identity.FormatPublicKey(key.PublicKey()))
	is.NoErr(err)
	is.Equal(parsed, key.PublicKey())

	for _, mode := range []os.FileMode{0o640, 0o604, 0o620, 0o602, 0o610} {
		is.NoErr(os.Chmod(path, mode))
		_, err = identity.LoadKey(path)
		is.Equal(kindOf(err), identity.KindPermissions)
		is.True(strings.Contains(err.Error(), "chmod 600"))
	}
}

// Guards against a secret in a log line or an error.
func TestNoSecretInText(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "owner.key")
	key, err := identity.CreateKey(path)
	is.NoErr(err)

	content, err := os.ReadFile(path)
	is.NoErr(err)

	var text strings.Builder

	slog.New(slog.NewTextHandler(&text, nil)).Info("key", "key", key)
	fmt.Fprintf(&text, "%v %+v %#v %s %x", key, key, key, key, key)

	is.NoErr(os.WriteFile(path, append(content[:len(content)/2], "!!"...), 0o600))
	_, err = identity.LoadKey(path)
	is.Equal(kindOf(err), identity.KindInvalid)
	fmt.Fprint(&text, err)

	secret := strings.Split(string(content), "\n")[1]
	is.True(!strings.Contains(text.String(), secret[20:30]))
	is.True(!strings.Contains(text.String(), "0x")) // no bytes in Go syntax
	is.True(strings.Contains(text.String(), "hidden"))
}
