package controller

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/transport/identity"
)

const goodSettings = `name: controller-1
data: /var/lib/jayspindle
listen: 127.0.0.1:9001
peers: [127.0.0.1:9002, 127.0.0.1:9003]
identity: {certificate: c.pem, key: c.key, authorities: [ca.pem]}
bootstrap: true
owners: [{name: ann, key: KEY}, {name: bob, key: KEY}]
debug: 127.0.0.1:9100
`

// Guards against settings with a misspelt key or a value that only fails later.
func TestSettings(t *testing.T) {
	key, err := identity.NewKey()
	is.New(t).NoErr(err)

	good := strings.ReplaceAll(goodSettings, "KEY", identity.FormatPublicKey(key.PublicKey()))
	_, err = Parse([]byte(good))
	is.New(t).NoErr(err)

	for name, change := range map[string][2]string{
		"unknown key":     {"data:", "dat:"},
		"no name":         {"name: controller-1\n", ""},
		"any address":     {"listen: 127.0.0.1", "listen: 0.0.0.0"},
		"host name":       {"[127.0.0.1:9002", "[controller-2:9002"},
		"public debug":    {"debug: 127.0.0.1", "debug: 192.0.2.1"},
		"one owner":       {"owners: [{name: ann", "owners: []\nother: [{name: ann"},
		"no authority":    {"[ca.pem]", "[]"},
		"malformed owner": {"key: ed25519:", "key: rsa:"},
		"authorities":     {"[ca.pem]", "[a, b, c]"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1)))
			is.New(t).True(err != nil)
		})
	}
}
