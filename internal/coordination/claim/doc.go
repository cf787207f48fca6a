// Package claim lets a non-idempotent request run at most once, whichever agent
// gets it and however often the caller sends it again.
//
// # Usage
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
//			// Hand over. Afterwards:
//			claimant.Complete(now, claim.NewAnswer(response))
//		}
//	}
//
// After a decision, Messages goes on until Done: holders learn the answer, or
// the claim is released.
//
// # Safety
//
// The holders of a key are up to 3 agents by rendezvous hashing, in different
// availability zones where there are enough. A claim needs a majority of the
// holders of every membership in the window. A seat grants a key to one
// execution, so two executions that share one membership cannot both have a
// majority of its holders.
//
// This survives, for every membership in the window:
//
//   - the silent loss of one of 3 holders: claims and answers remain;
//   - any number of planned leaves, if each leaving agent moves its seats to a
//     sibling (Export and Import);
//   - lost, late, duplicated and reordered messages, and the loss of any
//     claimant at any moment.
//
// With two of 3 holders of one membership lost silently, no claim on their keys
// succeeds until that membership has left the window. The verdict is then
// Unknown, never a second run.
//
// It does not survive the loss of all agents of a service at once, because
// claims are kept in memory, and relies on three conditions: clocks of
// different agents advance at the same rate; a seat is held by one agent; two
// agents that claim have seen a common membership in the window, which holds if
// one lasted longer than views take to reach all agents.
//
// "Not run" refers to the start of the claim: no execution of the key had been
// handed over before, and this one never will be. If another execution that
// runs at the same time holds the key, the verdict is InProgress.
//
// The records of a store are bounded. At the bound, keys without a record are
// refused with Full, and records are kept until they expire.
//
// The types are not safe for concurrent use: one goroutine owns them.
package claim
