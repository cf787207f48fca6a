package catalog

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/invariant"
)

// splitLines returns the lines of a replacement of an owner without their line ends.
func splitLines(data []byte) []string {
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// decide applies an owner's signature to the pending change. Two acceptances put
// the change in force; one rejection discards it.
func (c *Catalog) decide(at entry, command Sign, decision document.Decision) (Result, bool) {
	ledger, ok := c.ledgers[command.Environment]
	if !ok {
		return refuse(KindInvalid, "found environment %q, allowed: %s, %s, %s",
			command.Environment, Trial, Production, Owners), false
	}

	if found := ledger.findSigned(command, decision); found != nil {
		return ledger.changeResult(found), false
	}

	pending := ledger.pending
	if pending == nil || pending.Version != command.Version || pending.Digest != command.Digest {
		return refuse(KindNotPending, "version %d of %s with digest %x is not pending",
			command.Version, command.Environment, command.Digest), false
	}

	i, ok := c.ownerIndex(command.Owner)
	if !ok {
		return refuse(KindOwner, "%q is not an owner", command.Owner), false
	}

	key := c.owners[i].Key
	if !document.Verify(key, command.Environment, command.Version, command.Digest, decision, command.Signature) {
		return refuse(KindSignature, "the signature of %s does not match environment, version, digest and decision",
			command.Owner), false
	}

	if decision == document.Reject && len(ledger.rejections) >= maxRejections {
		return refuse(KindFull, "version %d of %s was rejected %d times", command.Version, command.Environment,
			maxRejections), false
	}

	if decision == document.Accept && pending.signedBy(command.Owner) {
		return ledger.changeResult(pending), false
	}

	pending.Signatures = append(pending.Signatures, Signature{
		Owner: command.Owner, Key: key, Decision: decision, Signature: command.Signature, Time: at.now,
	})

	if decision == document.Reject {
		return ledger.changeResult(ledger.recordDecision(Rejected, at.now)), true
	}

	if len(pending.Signatures) == len(c.owners) {
		c.accept(at, ledger)
	}

	return ledger.changeResult(pending), true
}

// findSigned returns the change that already has the signature of the command, or
// nil if the command is not a resend.
func (l *ledger) findSigned(command Sign, decision document.Decision) *change {
	match := func(c *change) bool {
		return c.Version == command.Version && c.Digest == command.Digest &&
			c.hasSignature(command.Owner, decision, command.Signature)
	}

	if l.pending != nil && match(l.pending) {
		return l.pending
	}

	return l.findLast(match)
}

// accept puts the pending change in force.
func (c *Catalog) accept(at entry, ledger *ledger) {
	c.assertAcceptable(ledger)

	accepted := ledger.recordDecision(Accepted, at.now)
	data := accepted.text.bytes()

	if ledger.name == Owners {
		c.acceptOwners(data)

		return
	}

	services, err := c.parse(data, accepted.Digest)
	invariant.Assert(err == nil, "catalog: a pending document is valid", slog.Any("error", err))

	c.environments[ledger.name].setServices(services)
	c.environments[ledger.name].index = at.index
}

// assertAcceptable asserts that the pending change meets every condition for
// acceptance.
func (c *Catalog) assertAcceptable(ledger *ledger) {
	pending := ledger.pending
	signatures := pending.Signatures

	invariant.Assert(len(signatures) == 2 &&
		signatures[0].Owner != signatures[1].Owner && !bytes.Equal(signatures[0].Key, signatures[1].Key),
		"catalog: an acceptance has the signatures of two owners", slog.String("change", pending.ID))

	for _, signature := range signatures {
		invariant.Assert(c.isValidAcceptance(ledger, signature),
			"catalog: an acceptance has two valid signatures", slog.String("owner", signature.Owner))
	}

	invariant.Assert(pending.Version == ledger.version+1 && ledger.acceptedByVersion(pending.Version) == nil,
		"catalog: an accepted version never changes", slog.Uint64("version", pending.Version))

	invariant.Assert(document.Digest(pending.text.bytes()) == pending.Digest,
		"catalog: the bytes of a change have its digest", slog.String("change", pending.ID))
}

// isValidAcceptance reports whether the signature is a valid acceptance of the
// pending change by a current owner.
func (c *Catalog) isValidAcceptance(ledger *ledger, signature Signature) bool {
	i, ok := c.ownerIndex(signature.Owner)

	return ok && signature.Decision == document.Accept && bytes.Equal(c.owners[i].Key, signature.Key) &&
		document.Verify(signature.Key, ledger.name, ledger.pending.Version, ledger.pending.Digest,
			signature.Decision, signature.Signature)
}

// acceptOwners replaces an owner and removes the signatures of the replaced key
// from pending changes.
func (c *Catalog) acceptOwners(replacement []byte) {
	next, err := c.ownersAfter(replacement)
	invariant.Assert(err == nil, "catalog: a pending replacement of an owner is valid", slog.Any("error", err))

	c.owners = next

	for _, ledger := range c.ledgers {
		if ledger.pending == nil {
			continue
		}

		ledger.pending.Signatures = slices.DeleteFunc(ledger.pending.Signatures, func(signature Signature) bool {
			i, ok := c.ownerIndex(signature.Owner)

			return !ok || !bytes.Equal(c.owners[i].Key, signature.Key)
		})
	}
}
