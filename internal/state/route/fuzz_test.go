package route_test

import (
	"net/netip"
	"testing"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

// FuzzDecode guards against documents from other processes that crash the decoder, the
// check or the choice of a service.
func FuzzDecode(f *testing.F) {
	document := &route.Document{Version: 1, Services: []string{"desk"}, Routes: []route.Route{{
		Name: "a", Address: netip.MustParseAddrPort("198.51.100.1:443"), Timeout: time.Second,
		Targets: []route.Target{{Service: "desk", Weight: 3}},
	}}}

	encoded, err := document.Encode()
	if err != nil {
		f.Fatal(err)
	}

	f.Add(encoded)
	f.Add([]byte{})

	f.Fuzz(func(t *testing.T, encoded []byte) {
		decoded, err := route.Decode(encoded)
		if err != nil {
			return
		}

		table, err := route.New(decoded)
		if err != nil {
			return
		}

		for _, r := range decoded.Routes {
			endpoint, _ := flow.NewEndpoint(r.Address)

			found, ok := table.Find(endpoint)
			if !ok || !found.Allows(found.Pick(12345)) {
				t.Errorf("route %q: no service can be picked", r.Name)
			}
		}
	})
}
