// Package claim lets a non-idempotent request run at most once, whichever agent
// gets it and however often the caller sends it again.
//
// # Usage
//
// A seat is the role of one agent as a holder of claims. Its ID is the
// incarnation of that agent and stays the same when another agent takes the seat
// over.
//
// Each agent keeps a Store, which answers for its seat, and a History of the
// memberships of its service. For each request with an idempotency key:
//
//	claimant := claim.Begin(now, key, execution, history)
//	for _, message := range claimant.Messages(now) {
//		// Send message.Request to agent message.To.
//	}
//	claimant.Reply(now, reply) // for each reply
//	claimant.Tick(now)         // at claimant.Wake()
//	switch claimant.Decision().Verdict {
//	case claim.Run:
//		if claimant.HandOver(now) {
//			// Send the request to the backend server. Afterwards:
//			claimant.Complete(now, claim.NewAnswer(response))
//		}
//	}
//
// After a decision, continue to send Messages until Done returns true: they
// record the answer with the holders or release the claim.
//
// # Safety
//
// The holders of a key are up to 3 agents by rendezvous hashing, in different
// availability zones where there are enough. A claim needs a majority of the
// holders of every membership in the window. A seat grants a key to one
// execution, so two executions that share one membership cannot both have a
// majority of its holders.
//
// The guarantee holds despite the following faults, in every membership in the
// window:
//
//   - one of 3 holders fails without notice: claims and answers remain;
//   - any number of agents leave as planned, if each of them moves its seats to
//     a sibling (Export and Import);
//   - messages are lost, late, duplicated or reordered;
//   - any claimant fails at any time.
//
// If two of 3 holders of one membership fail without notice at the same time, no
// claim on their keys succeeds until that membership has left the window. The
// verdict is then Unknown, never a second run.
//
// # Losses one after the other
//
// After a loss, the memberships before the one in force are closed, so that the
// next loss does not add up with it. All members of the membership in force seal
// their seats (History.AcceptSeal, Store.Seal): a sealed seat grants a free key only
// to a claimant that also asks the holders in this membership, and tells others
// about it (Sealed). Then each member sends its claims to these holders (Carry,
// Adopt). Every execution that runs under an earlier membership has a grant of a
// sealed seat, from before the seal, so these holders know it. Once all claims have
// arrived, the Closing tells claimants that the earlier memberships need not be
// asked for keys of which the sealed seats were a majority of the holders.
//
// A closing may be abandoned at any point, and several agents may run one at once.
// A claimant that knows a seal says NotRun only if no holder up to the seal rules it
// out, because it may not know the closing that an earlier claimant has used.
//
// The guarantee does not survive the loss of all agents of a service at once,
// because claims are kept in memory. It relies on three conditions: the clocks of
// different agents advance at the same rate; a seat is held by one agent; two
// agents that claim have seen a common membership in the window, which holds if
// one membership lasted longer than views take to reach all agents.
//
// The verdict NotRun refers to the start of the claim: no execution of the key
// had been handed over before, and this one never will be. If another execution
// that runs at the same time holds the key, the verdict is InProgress.
//
// The number of records of a store is limited. A full store answers Full for
// keys without a record, and keeps its records until they expire.
//
// The types are not safe for concurrent use.
package claim
