package catalog

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/invariant"
)

func splitLines(data []byte) []string {
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// decide applies an owner's signature to the pending change. Two acceptances
// accept it; one rejection ends it.
func (c *Catalog) decide(at entry, command Sign, decision document.Decision) (Result, bool) {
	ledger, ok := c.ledgers[command.Environment]
	if !ok {
		return refuse(KindInvalid, "found environment %q, allowed: %s, %s, %s",
			command.Environment, Trial, Production, Owners), false
	}

	if held := ledger.decided(command, decision); held != nil {
		return ledger.status(held), false
	}

	pending := ledger.pending
	if pending == nil || pending.Version != command.Version || pending.Digest != command.Digest {
		return refuse(KindNotPending, "version %d of %s with digest %x is not pending",
			command.Version, command.Environment, command.Digest), false
	}

	i, ok := c.owner(command.Owner)
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
		return ledger.status(pending), false
	}

	pending.Signatures = append(pending.Signatures, Signature{
		Owner: command.Owner, Key: key, Decision: decision, Signature: command.Signature, Time: at.now,
	})

	if decision == document.Reject {
		return ledger.status(ledger.conclude(Rejected, at.now)), true
	}

	if len(pending.Signatures) == len(c.owners) {
		c.accept(at, ledger)
	}

	return ledger.status(pending), true
}

// decided returns the change that already has the signature of a command that
// is sent again.
func (l *ledger) decided(command Sign, decision document.Decision) *change {
	match := func(c *change) bool {
		return c.Version == command.Version && c.Digest == command.Digest &&
			c.holds(command.Owner, decision, command.Signature)
	}

	if l.pending != nil && match(l.pending) {
		return l.pending
	}

	return l.last(match)
}

// accept puts the pending change in force.
func (c *Catalog) accept(at entry, ledger *ledger) {
	c.assertAcceptable(ledger)

	done := ledger.conclude(Accepted, at.now)
	data := done.text.bytes()

	if ledger.name == Owners {
		c.acceptOwners(data)

		return
	}

	services, err := c.parse(data, done.Digest)
	invariant.Assert(err == nil, "catalog: a pending document is valid", slog.Any("error", err))

	c.environments[ledger.name].setServices(services)
	c.environments[ledger.name].index = at.index
}

// assertAcceptable checks what no accepted change may lack.
func (c *Catalog) assertAcceptable(ledger *ledger) {
	pending := ledger.pending
	signatures := pending.Signatures

	invariant.Assert(len(signatures) == 2 &&
		signatures[0].Owner != signatures[1].Owner && !bytes.Equal(signatures[0].Key, signatures[1].Key),
		"catalog: an acceptance has the signatures of two owners", slog.String("change", pending.ID))

	for _, signature := range signatures {
		invariant.Assert(c.signed(ledger, signature),
			"catalog: an acceptance has two valid signatures", slog.String("owner", signature.Owner))
	}

	invariant.Assert(pending.Version == ledger.version+1 && ledger.accepted(pending.Version) == nil,
		"catalog: an accepted version never changes", slog.Uint64("version", pending.Version))

	invariant.Assert(document.Digest(pending.text.bytes()) == pending.Digest,
		"catalog: the bytes of a change have its digest", slog.String("change", pending.ID))
}

// signed reports whether an owner in force accepts the pending change with the
// signature.
func (c *Catalog) signed(ledger *ledger, signature Signature) bool {
	i, ok := c.owner(signature.Owner)

	return ok && signature.Decision == document.Accept && bytes.Equal(c.owners[i].Key, signature.Key) &&
		document.Verify(signature.Key, ledger.name, ledger.pending.Version, ledger.pending.Digest,
			signature.Decision, signature.Signature)
}

// acceptOwners replaces an owner. Signatures that the replaced key gave to
// pending changes are void.
func (c *Catalog) acceptOwners(replacement []byte) {
	next, err := c.ownersAfter(replacement)
	invariant.Assert(err == nil, "catalog: a pending replacement of an owner is valid", slog.Any("error", err))

	c.owners = next

	for _, ledger := range c.ledgers {
		if ledger.pending == nil {
			continue
		}

		ledger.pending.Signatures = slices.DeleteFunc(ledger.pending.Signatures, func(signature Signature) bool {
			i, ok := c.owner(signature.Owner)

			return !ok || !bytes.Equal(c.owners[i].Key, signature.Key)
		})
	}
}
