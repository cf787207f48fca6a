// Package routing selects the agents of new flows: an immutable table from
// service and connection ID hash to agent, built from a view.
//
// # Usage
//
//	table := routing.New(current)
//	incarnation, ok := table.Owner(service, routing.Hash(packet.DCID))
//	next := table.Next(updated) // recomputes only services whose agents changed
//	published.Store(next)
//
// A table never changes, so readers need no lock and are never blocked by a
// rebuild. Established flows do not use it: their connection IDs identify their
// agent.
package routing

import (
	"github.com/cespare/xxhash/v2"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/view"
)

const (
	defaultBuckets = 1024
	maxBuckets     = 1 << 14

	// noOwner marks the buckets of a service without an eligible agent.
	noOwner = 1<<16 - 1
)

// Hash returns the hash of a destination connection ID that selects a bucket.
func Hash(dcid []byte) uint64 { return xxhash.Sum64(dcid) }

// Table is the routing state of one view.
type Table struct {
	view     *view.View
	services []*buckets // by service ID; nil for an unknown service
	index    index
	rebuilt  int
}

// New computes the table of a view.
func New(current *view.View) *Table {
	return (&Table{}).Next(current)
}

// Next computes the table of another view. Services whose eligible agents,
// weights and number of buckets are the same keep their buckets.
func (t *Table) Next(next *view.View) *Table {
	services := next.Services()

	length := 0
	if len(services) > 0 {
		length = int(services[len(services)-1].ID) + 1
	}

	table := &Table{view: next, services: make([]*buckets, length), index: newIndex(next.Agents())}

	for i := range services {
		service := &services[i]
		agents := next.AgentsOf(service.ID)
		count := bucketCount(service.Buckets)

		old := t.bucketsOf(service.ID)
		if old != nil && old.matches(agents, count) {
			table.services[service.ID] = old

			continue
		}

		table.services[service.ID] = newBuckets(agents, count)
		table.rebuilt++
	}

	return table
}

// bucketCount returns the number of buckets of a service, which is a power of
// two, and the default if the configured number is invalid.
func bucketCount(configured uint16) int {
	if configured == 0 || configured&(configured-1) != 0 || configured > maxBuckets {
		return defaultBuckets
	}

	return int(configured)
}

func (t *Table) bucketsOf(service view.ServiceID) *buckets {
	if int(service) >= len(t.services) {
		return nil
	}

	return t.services[service]
}

// View returns the view of the table.
func (t *Table) View() *view.View { return t.view }

// Rebuilt returns the number of services whose buckets had to be computed.
func (t *Table) Rebuilt() int { return t.rebuilt }

// Owner returns the agent of a new flow. It reports false if the service is
// unknown or has no eligible agent.
func (t *Table) Owner(service view.ServiceID, hash uint64) (view.Incarnation, bool) {
	serviceBuckets := t.bucketsOf(service)
	if serviceBuckets == nil {
		return 0, false
	}

	owner := serviceBuckets.owners[hash&serviceBuckets.mask]
	if owner == noOwner {
		return 0, false
	}

	return serviceBuckets.members[owner].incarnation, true
}

// AgentAtRank returns the agent of a new flow when the agents of all lower ranks
// are skipped. Rank 0 is the owner. It computes the rank from the scores,
// in time proportional to rank and number of agents, without allocating.
func (t *Table) AgentAtRank(service view.ServiceID, hash uint64, rank int) (view.Incarnation, bool) {
	serviceBuckets := t.bucketsOf(service)
	if serviceBuckets == nil || rank < 0 || rank >= len(serviceBuckets.members) {
		return 0, false
	}

	return serviceBuckets.ranked(hash&serviceBuckets.mask, rank), true
}

// EligibleCount returns the number of agents of a service that get new flows.
func (t *Table) EligibleCount(service view.ServiceID) int {
	serviceBuckets := t.bucketsOf(service)
	if serviceBuckets == nil {
		return 0
	}

	return len(serviceBuckets.members)
}

// member is an agent that gets new flows.
type member struct {
	incarnation view.Incarnation
	weight      uint8
	seed        uint64 // hash of the incarnation
}

// eligible returns the agents that get new flows, in ascending order of incarnation.
func eligible(agents []view.Agent) []member {
	members := make([]member, 0, len(agents))

	for i := range agents {
		if weight := weightOf(&agents[i]); weight > 0 {
			incarnation := agents[i].Incarnation
			members = append(members, member{incarnation, weight, flow.Mix(uint64(incarnation))})
		}
	}

	return members
}

// weightOf returns the weight of an agent, or 0 if it gets no new flows.
func weightOf(agent *view.Agent) uint8 {
	if agent.State != view.Active {
		return 0
	}

	return min(agent.Weight, view.MaxWeight)
}

// buckets is the part of a table for one service.
type buckets struct {
	members []member
	owners  []uint16 // indices into members
	mask    uint64
}

func newBuckets(agents []view.Agent, count int) *buckets {
	members := eligible(agents)

	return &buckets{members: members, owners: assign(members, count), mask: uint64(count - 1)}
}

// matches reports whether the given agents and number of buckets would give the
// same buckets.
func (b *buckets) matches(agents []view.Agent, count int) bool {
	if len(b.owners) != count {
		return false
	}

	i := 0

	for j := range agents {
		weight := weightOf(&agents[j])
		if weight == 0 {
			continue
		}

		if i == len(b.members) || b.members[i].incarnation != agents[j].Incarnation || b.members[i].weight != weight {
			return false
		}

		i++
	}

	return i == len(b.members)
}

// ranked returns the owner of a bucket for rank 0, and for the next ranks the
// other members in descending order of score.
func (b *buckets) ranked(bucket uint64, rank int) view.Incarnation {
	owner := int(b.owners[bucket])
	if rank == 0 {
		return b.members[owner].incarnation
	}

	bound := maxScore
	for range rank {
		bound = bestBelow(b.members, owner, bucket, bound)
	}

	return b.members[bound.position].incarnation
}
