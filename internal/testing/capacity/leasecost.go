package capacity

import (
	"context"
	"fmt"
	"time"

	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/coordination/lease"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

// The figures of leases, of publishing and of at-most-once records.
const (
	RenewBytes   ID = "renew bytes"
	RenewHandle  ID = "renew handle"
	LeaseExpiry  ID = "lease expiry"
	LeaseMemory  ID = "lease memory"
	PublishApply ID = "publish apply"
	PublishNext  ID = "publish next"
	ClaimMemory  ID = "claim memory"
	ClaimHandle  ID = "claim handle"
)

var baseTime = time.Unix(1_800_000_000, 0)

// leases measures the leader's cost of renewals that arrive in full batches.
var leases = probe{
	name: "leases", per: "instance", sizes: []int{3550, 7100, 14_200, targetInstances},
	labels: []label{
		{RenewBytes, "renewals in full batches", unitBytes},
		{RenewHandle, "decoding batches and renewing the leases", unitSeconds},
		{LeaseExpiry, "look for expired leases", unitSeconds},
		{LeaseMemory, "live memory of the lease table", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		members := make([]view.Incarnation, size)
		for i := range members {
			members[i] = view.Incarnation(1_000_000 + i)
		}

		var err error

		table := lease.New(3 * time.Second)
		memory := retainedMemory(func() *lease.Table {
			err = table.Reconcile(baseTime, members)

			return table
		})

		if err != nil {
			return nil, err
		}

		batches, bytes, err := encodeBatches(members)
		if err != nil {
			return nil, err
		}

		now := baseTime
		renewTime := secondsPerRun(func() {
			now = now.Add(time.Second)
			for _, batch := range batches {
				renewBatch(table, now, batch)
			}
		})

		return []float64{bytes, renewTime, secondsPerRun(func() { table.Expired(now) }), memory}, nil
	},
}

func encodeBatches(members []view.Incarnation) (batches [][]byte, bytes float64, err error) {
	for len(members) > 0 {
		count := min(len(members), control.MaxRenewals)
		message := control.Renew{Environment: environment}

		for _, member := range members[:count] {
			message.Renewals = append(message.Renewals, control.Renewal{
				Incarnation: member, Position: view.Position{Generation: 1, Index: 1_000_000},
				InForceFor: 1234 * time.Millisecond, Load: 50,
			})
		}

		encoded, err := control.Encode(&message)
		if err != nil {
			return nil, 0, err
		}

		batches, members = append(batches, encoded), members[count:]
		bytes += float64(len(encoded))
	}

	return batches, bytes, nil
}

// renewBatch decodes a batch and renews its leases, as the leader does.
func renewBatch(table *lease.Table, now time.Time, batch []byte) {
	message, err := control.Decode[control.Renew](batch)
	if err != nil {
		panic(err) // encodeBatches encoded it
	}

	renewals := make([]lease.Renewal, len(message.Renewals))
	for i, item := range message.Renewals {
		renewals[i] = lease.Renewal{
			Incarnation: item.Incarnation, Position: item.Position, InForceFor: item.InForceFor, Load: item.Load,
		}
	}

	table.Renew(now, renewals)
}

// publishing measures a publisher at the target size, without the links to its
// subscribers.
var publishing = probe{
	name: "publishing", per: "subscriber", sizes: []int{300, 600, 1200, targetBalancers},
	labels: []label{
		{PublishApply, "publishing a change of one agent, full view", unitSeconds},
		{PublishNext, "finding the delta for every subscriber", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		publisher := rollout.New(environment)
		current, now := fullView(), baseTime
		publisher.Apply(now, current)

		cursors := make([]*rollout.Cursor, size)
		for i := range cursors {
			cursors[i] = rollout.NewCursor(control.Watch{Position: current.Position(), Digest: current.Digest()})
		}

		const rounds = 10

		var applyTime, findTime float64

		for range rounds {
			current = mustApply(current, mustMarshal(reweightDelta(current)))
			now = now.Add(rollout.CoalesceInterval)

			began := processorTime()
			publisher.Apply(now, current)
			published := processorTime()

			snapshot, _ := publisher.Snapshot()
			for _, cursor := range cursors {
				cursor.Next(now, snapshot)
			}

			applyTime += published - began
			findTime += processorTime() - published
		}

		return []float64{applyTime / rounds, findTime / rounds}, nil
	},
}

// answerBytes is the size of each stored answer.
const answerBytes = 200

// claims measures at-most-once records with tokens of 36 bytes, the length of a
// UUID.
var claims = probe{
	name: "at-most-once records", per: "record", sizes: []int{7500, 15_000, 30_000, maxClaimRecords},
	labels: []label{
		{ClaimMemory, "live memory of the records of an agent", unitBytes},
		{ClaimHandle, "granting and completing the records at one holder", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		store := claim.NewStore(1, 10*time.Minute, 10*time.Minute, maxClaimRecords)
		began := processorTime()
		memory := retainedMemory(func() *claim.Store {
			for i := range size {
				request := claim.Request{
					Verb: claim.Grant, Seat: 1, Execution: claim.Execution{Agent: 2, Sequence: uint64(i)},
					Key: claim.Key{Service: 1, Token: fmt.Sprintf("%036d", i)},
				}
				store.Handle(baseTime, request)

				request.Verb, request.Answer = claim.Complete, claim.NewAnswer(make([]byte, answerBytes))
				store.Handle(baseTime, request)
			}

			return store
		})

		return []float64{memory, processorTime() - began}, nil
	},
}
