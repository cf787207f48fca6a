package route_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

func document() *route.Document {
	return &route.Document{
		Version:  3,
		Services: []string{"link", "desk"},
		Routes: []route.Route{
			{
				Name: "a", Address: netip.MustParseAddrPort("198.51.100.1:443"), Timeout: time.Second,
				Targets: []route.Target{{Service: "link", Weight: 9}, {Service: "desk", Weight: 1}},
			},
			{
				Name: "b", Address: netip.MustParseAddrPort("198.51.100.1:8443"), Timeout: time.Second,
				Targets: []route.Target{{Service: "desk", Weight: 1}},
			},
		},
		Idle: 15 * time.Second,
	}
}

// TestCheck guards against accepted documents with unknown services, ambiguous
// addresses or missing timeouts.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		change func(d *route.Document)
		want   string
	}{
		"unknown service": {func(d *route.Document) { d.Routes[1].Targets[0].Service = "other" }, "does not exist"},
		"same address":    {func(d *route.Document) { d.Routes[1].Address = d.Routes[0].Address }, "same address"},
		"no timeout":      {func(d *route.Document) { d.Routes[0].Timeout = 0 }, "timeout"},
		"no weight":       {func(d *route.Document) { d.Routes[1].Targets[0].Weight = 0 }, "weight"},
		"no targets":      {func(d *route.Document) { d.Routes[1].Targets = nil }, "weight"},
		"no address":      {func(d *route.Document) { d.Routes[1].Address = netip.AddrPort{} }, "IPv4"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed := document()
			test.change(changed)

			var failed *route.Error

			is.True(errors.As(changed.Check(), &failed))
			is.Equal(failed.Kind(), route.KindInvalid)
			is.True(strings.Contains(failed.Error(), test.want))
		})
	}

	is := is.New(t)
	is.NoErr(document().Check())
}

// TestEncode guards against documents that encoding and decoding change.
func TestEncode(t *testing.T) {
	is := is.New(t)
	encoded, err := document().Encode()
	is.NoErr(err)

	decoded, err := route.Decode(encoded)
	is.NoErr(err)
	is.Equal(decoded, document())

	_, err = route.Decode(encoded[:len(encoded)-3])
	is.True(err != nil)
}

// TestPick guards against a distribution that ignores the weights, or that selects
// different services for one flow with the same document.
func TestPick(t *testing.T) {
	is := is.New(t)
	table, err := route.New(document())
	is.NoErr(err)

	address, _ := flow.NewEndpoint(netip.MustParseAddrPort("198.51.100.1:443"))
	found, ok := table.Find(address)
	is.True(ok)

	counts := map[string]int{}
	for hash := range uint64(10_000) {
		counts[found.Pick(hash)]++
		is.Equal(found.Pick(hash), found.Pick(hash))
	}

	is.True(counts["desk"] > 800 && counts["desk"] < 1200)
	is.True(found.Allows("desk"))
	is.True(!found.Allows("other"))
}
