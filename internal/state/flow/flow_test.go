package flow_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
)

// TestEndpoint guards against addresses that a flow key cannot represent.
func TestEndpoint(t *testing.T) {
	is := is.New(t)

	endpoint, ok := flow.NewEndpoint(netip.MustParseAddrPort("[::ffff:192.0.2.1]:443"))
	is.True(ok)
	is.Equal(endpoint.String(), "192.0.2.1:443")

	_, ok = flow.NewEndpoint(netip.MustParseAddrPort("[2001:db8::1]:443"))
	is.True(!ok)
}

// TestKeys guards against replies that are attributed to another flow than the
// request.
func TestKeys(t *testing.T) {
	is := is.New(t)
	client := flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 40000}
	service := flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443}

	request := flow.Header{Source: client, Destination: service}
	reply := flow.Header{Source: service, Destination: client}
	is.Equal(request.Key(), reply.ReplyKey())
	is.True(request.Key().Hash() != reply.Key().Hash())
}

// TestEncode guards against keys whose endpoints are swapped or truncated by
// encoding and decoding.
func TestEncode(t *testing.T) {
	is := is.New(t)
	key := flow.Key{
		Client:  flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 40_000},
		Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
	}

	encoded := key.Append(nil)
	is.Equal(len(encoded), flow.KeyBytes)
	is.Equal(flow.ParseKey(encoded), key)
	is.Equal(len(key.Client.Append(nil)), flow.EndpointBytes)
}
