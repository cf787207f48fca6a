package capacity

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"jayspindle/internal/state/view"
)

const (
	environment = "production"
	buckets     = 1024
)

var classes = []view.Class{
	{
		Name: "hazard-alert", Method: "POST", PathPrefix: "/alerts", Idempotent: true, Deadline: time.Second,
		MinSharePercent: 20,
	},
	{Name: "hazard-feed", Method: "GET", PathPrefix: "/alerts", Idempotent: true, Deadline: time.Second, Feed: true},
	{
		Name: "pass-report", Method: "POST", PathPrefix: "/reports", Urgency: 1, Deadline: 3 * time.Second,
		MinSharePercent: 20,
	},
	{
		Name: "route-sheet", Method: "GET", PathPrefix: "/sheets", Urgency: 5, Idempotent: true,
		Deadline: 10 * time.Second, MinSharePercent: 20,
	},
}

// address returns a different address for each number below 1<<24, because the
// factor is odd. It scatters the addresses: consecutive ones would compress
// better than real ones.
func address(number int, port uint16) netip.AddrPort {
	number *= 0x9e3779b1
	bytes := [4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}

	return netip.AddrPortFrom(netip.AddrFrom4(bytes), port)
}

func zoneName(number int) string {
	return fmt.Sprintf("region-%d-zone-%c", number%targetRegions, 'a'+number%targetZones)
}

func makeService(number int) view.Service {
	return view.Service{
		ID: view.ServiceID(number + 1), Name: fmt.Sprintf("service-%05d", number), Address: address(number, 443),
		Slots: 4, Connections: 2000, Buckets: buckets, Classes: classes,
		Limits:    view.Limits{FirstPackets: 2000, FirstPacketsPerSource: 1000},
		PublicKey: randomKey(number),
	}
}

// randomKey returns 32 bytes that are as incompressible as a real key.
func randomKey(number int) []byte {
	key := sha256.Sum256(binary.BigEndian.AppendUint64(nil, uint64(number)))

	return key[:]
}

func makeAgent(number, services int) view.Agent {
	return view.Agent{
		Incarnation: view.Incarnation(1_000_000 + number), Service: view.ServiceID(number%services + 1),
		Zone: zoneName(number), Data: address(1<<20+number, 7000), Peer: address(1<<20+number, 7001),
		Weight: view.MaxWeight, State: view.Active,
	}
}

// makeContents returns a view with the given number of agents. The numbers of
// services and balancers are in proportion to the target size.
func makeContents(agents int) view.Contents {
	services := max(1, agents*targetServices/targetAgents)
	contents := view.Contents{
		Environment: environment, Position: view.Position{Generation: 1, Index: 1_000_000}, Version: 13_000,
		Keys: []view.Key{{ID: 3, Secret: [32]byte{3}}, {ID: 2, Secret: [32]byte{2}}, {ID: 1, Secret: [32]byte{1}}},
	}

	for i := range services {
		contents.Services = append(contents.Services, makeService(i))
	}

	for i := range agents {
		contents.Agents = append(contents.Agents, makeAgent(i, services))
	}

	for i := range agents * targetBalancers / targetAgents {
		contents.Balancers = append(contents.Balancers, view.Balancer{
			Incarnation: view.Incarnation(2_000_000 + i), Zone: zoneName(i),
			Data: address(1<<21+i, 7000), Relay: address(1<<21+i, 7001), State: view.Active,
		})
	}

	return contents
}

// replaceAgentsDelta returns a delta that replaces the first count agents by new
// incarnations on the same addresses, as restarts do.
func replaceAgentsDelta(old *view.View, count int) view.Delta {
	delta := emptyDelta(old)

	for i, agent := range old.Agents()[:count] {
		delta.RemovedAgents = append(delta.RemovedAgents, agent.Incarnation)
		agent.Incarnation = view.Incarnation(3_000_000 + i)
		delta.Agents = append(delta.Agents, agent)
	}

	return delta
}

// reweightDelta returns a delta that changes the weight of one agent.
func reweightDelta(old *view.View) view.Delta {
	delta := emptyDelta(old)
	agent := old.Agents()[len(old.Agents())/2]
	agent.Weight = agent.Weight%view.MaxWeight + 1
	delta.Agents = []view.Agent{agent}

	return delta
}

func emptyDelta(old *view.View) view.Delta {
	to := old.Position()
	to.Index++

	return view.Delta{From: old.Position(), To: to, Version: old.Version(), Digest: old.DocumentDigest()}
}
