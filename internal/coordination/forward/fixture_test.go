package forward_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

const (
	self    = view.Incarnation(900) // the balancer under test
	crew    = view.ServiceID(1)
	desk    = view.ServiceID(2)
	initial = 0xc0
)

var (
	start  = time.Unix(1_800_000_000, 0)
	caller = netip.MustParseAddrPort("203.0.113.9:4433")
	peer   = netip.MustParseAddrPort("10.0.9.9:7")
	secret = []view.Key{{ID: 1, Secret: [32]byte{1}}}
)

// contents has agents 1 to 4, odd ones of service crew and even ones of desk,
// and balancers 900 to 902.
func contents() view.Contents {
	result := view.Contents{Position: view.Position{Index: 5}, Keys: secret}
	for _, id := range []view.ServiceID{crew, desk} {
		result.Services = append(result.Services, view.Service{ID: id, Buckets: 64})
	}

	for i := range 4 {
		result.Agents = append(result.Agents, view.Agent{
			Incarnation: view.Incarnation(i + 1), Service: crew + view.ServiceID(i%2),
			Data: address(i + 1), Weight: view.MaxWeight, State: view.Active,
		})
	}

	for i := range 3 {
		result.Balancers = append(result.Balancers, view.Balancer{
			Incarnation: self + view.Incarnation(i), Data: address(900 + i), State: view.Active,
		})
	}

	return result
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7)
}

// fixture is a balancer with one worker, and the keys of its view.
type fixture struct {
	*forward.Worker
	balancer *forward.Balancer
	ids      *connid.Keys
	headers  *datagram.Keys
}

func newFixture(t testing.TB, change func(*view.Contents)) fixture {
	t.Helper()

	viewContents := contents()
	if change != nil {
		change(&viewContents)
	}

	balancer := forward.NewBalancer(self, 1)
	is.New(t).NoErr(balancer.Apply(view.New(viewContents)))

	ids, err := connid.New(secret)
	is.New(t).NoErr(err)

	headers, err := datagram.New(secret)
	is.New(t).NoErr(err)

	return fixture{Worker: balancer.Worker(), balancer: balancer, ids: ids, headers: headers}
}

// initialPacket returns an Initial packet with a connection ID that depends on seed.
func initialPacket(seed int) []byte {
	packet := make([]byte, 1200)
	copy(packet, []byte{initial, 0, 0, 0, 1, 8, byte(seed), byte(seed >> 8)})

	return packet
}

// establishedPacket returns a short header packet to an agent.
func (f fixture) establishedPacket(service view.ServiceID, agent view.Incarnation) []byte {
	packet := make([]byte, 1+connid.Length+20)
	packet[0] = 0x40
	f.ids.Seal(packet[1:], service, agent, 7)

	return packet
}

// sealed returns a datagram with a header and the given payload.
func (f fixture) sealed(header datagram.Header, payload string) []byte {
	buffer := make([]byte, datagram.HeaderLength, 100)
	f.headers.Seal(buffer, &header)

	return append(buffer, payload...)
}

func assertSent(t *testing.T, got forward.Decision, reason forward.Reason, agent view.Incarnation) {
	t.Helper()

	is.New(t).Equal(got.Action, forward.Send)
	is.New(t).Equal(got.Reason, reason)
	is.New(t).Equal(got.Header.Agent, agent)
	is.New(t).Equal(got.Header.Kind, datagram.Forward)
	is.New(t).Equal(got.Header.Caller, caller)
	is.New(t).Equal(got.To, address(int(agent)))
}

func assertDropped(t *testing.T, got forward.Decision, reason forward.Reason) {
	t.Helper()

	is.New(t).Equal(got.Action, forward.Drop)
	is.New(t).Equal(got.Reason, reason)
}
