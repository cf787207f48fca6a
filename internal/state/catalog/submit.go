package catalog

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"unicode/utf8"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
)

// These limits equal control.MaxChangeID and control.MaxReason, which this lower
// layer cannot import.
const (
	maxIDBytes     = 64
	maxReasonBytes = 1024
)

// validID reports whether a text can be a change ID or the name of an owner:
// printable ASCII without spaces.
func validID(id string) bool {
	if len(id) == 0 || len(id) > maxIDBytes {
		return false
	}

	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}

	return true
}

// proposal holds the common parameters of Submit, Promote and ReplaceOwner.
type proposal struct {
	environment         string
	base                uint64
	id                  string
	author, reason      string
	digest, commandHash [32]byte // digest of the document; hash of the whole command
}

func (c *Catalog) submit(at entry, command Submit) (Result, bool) {
	if command.Environment != Trial && command.Environment != Production {
		return refuse(KindInvalid, "found environment %q, allowed: %s, %s", command.Environment, Trial, Production), false
	}

	return c.propose(at, proposal{
		environment: command.Environment,
		base:        command.Base,
		id:          command.ChangeID,
		author:      command.Author,
		reason:      command.Reason,
		digest:      document.Digest(command.Document),
		commandHash: hashCommand(command),
	}, func() (chunkedText, *Result) { return c.checkDocument(command.Environment, command.Document) })
}

func (c *Catalog) promote(at entry, command Promote) (Result, bool) {
	return c.propose(at, proposal{
		environment: Production,
		base:        command.Base,
		id:          command.ChangeID,
		author:      command.Author,
		reason:      command.Reason,
		digest:      command.Digest,
		commandHash: hashCommand(command),
	}, func() (chunkedText, *Result) {
		trial := c.ledgers[Trial].acceptedByDigest(command.Digest)
		if trial == nil || trial.text == nil {
			refusal := refuse(KindNotInTrial, "digest %x was not accepted in trial, or its bytes are no longer kept",
				command.Digest)

			return nil, &refusal
		}

		return c.checkDocument(Production, trial.text.bytes())
	})
}

// hashCommand hashes a command, to detect that a change ID is reused for another
// change.
func hashCommand(command any) [32]byte {
	encoded, err := canonical.Marshal(command)
	if err != nil {
		panic(err) // commands are plain values, and this one was decoded
	}

	return sha256.Sum256(encoded)
}

// propose makes a change pending. It calls check last, which returns the text to
// keep or a refusal.
func (c *Catalog) propose(at entry, p proposal, check func() (chunkedText, *Result)) (Result, bool) {
	if !validID(p.id) {
		return refuse(KindInvalid, "found change ID %q, allowed: 1 to %d printable ASCII characters",
			p.id, maxIDBytes), false
	}

	if first, ok := c.answers.byID[p.id]; ok {
		if first.CommandHash != p.commandHash {
			return refuse(KindReused, "change ID %q belongs to another change", p.id), false
		}

		return first.Result, false
	}

	if _, ok := c.ownerIndex(p.author); !ok {
		return refuse(KindOwner, "author %q is not an owner", p.author), false
	}

	if len(p.reason) > maxReasonBytes || !utf8.ValidString(p.reason) {
		return refuse(KindInvalid, "found a reason of %d bytes, allowed: at most %d bytes of UTF-8",
			len(p.reason), maxReasonBytes), false
	}

	ledger := c.ledgers[p.environment]
	if result, conflicts := ledger.conflict(p); conflicts {
		result.Index = at.index
		c.answers.add(p.id, p.commandHash, result)

		return result, true
	}

	kept, refusal := check()
	if refusal != nil {
		return *refusal, false
	}

	ledger.pending = &change{
		ID: p.id, Author: p.author, Reason: p.reason, Version: p.base + 1, Digest: p.digest,
		Status: Pending, Submitted: at.now, text: kept,
	}

	result := ledger.changeResult(ledger.pending)
	result.Index = at.index
	c.answers.add(p.id, p.commandHash, result)

	return result, true
}

// conflict reports whether another change was first: one that is pending, or one
// that was accepted after the base version of the proposal.
func (l *ledger) conflict(p proposal) (Result, bool) {
	conflicting := l.pending
	if conflicting == nil {
		if p.base == l.version {
			return Result{}, false
		}

		if conflicting = l.acceptedByVersion(p.base + 1); conflicting == nil {
			conflicting = l.acceptedByVersion(l.version)
		}
	}

	result := refuse(KindConflict, "found base version %d of %s, allowed: %d without a pending change",
		p.base, l.name, l.version)
	result.Environment, result.Version = l.name, l.version

	if conflicting != nil {
		result.ConflictingChange = conflicting.toConflictingChange()
	}

	return result, true
}

func (l *ledger) changeResult(change *change) Result {
	return Result{
		Environment: l.name, Version: change.Version, Digest: change.Digest,
		Status: change.Status, Signers: change.signers(),
	}
}

func (c *Catalog) ownerIndex(name string) (int, bool) {
	i := slices.IndexFunc(c.owners[:], func(owner Owner) bool { return owner.Name == name })

	return i, i >= 0
}

// checkDocument checks a document against the schema and against what is in force
// in the environment.
func (c *Catalog) checkDocument(environment string, data []byte) (chunkedText, *Result) {
	digest := document.Digest(data)
	ledger := c.ledgers[environment]

	if refusal := ledger.checkRejected(digest); refusal != nil {
		return nil, refusal
	}

	if environment == Production && c.ledgers[Trial].acceptedByDigest(digest) == nil {
		refusal := refuse(KindNotInTrial, "digest %x was not accepted in trial", digest)

		return nil, &refusal
	}

	services, err := c.parse(data, digest)
	if err != nil {
		refusal := refuse(KindInvalid, "%v", err)

		return nil, &refusal
	}

	if err := c.environments[environment].checkServices(services); err != nil {
		refusal := refuse(KindInvalid, "%v", err)

		return nil, &refusal
	}

	return splitChunks(data, c.ledgers[Trial].latestText(), c.ledgers[Production].latestText(), c.pendingText(Trial)), nil
}

// checkRejected refuses bytes that were rejected as the same version. A
// signature covers version and digest, so one that an owner gave before the
// rejection would be valid again.
func (l *ledger) checkRejected(digest [32]byte) *Result {
	if !slices.Contains(l.rejections, digest) {
		return nil
	}

	refusal := refuse(KindRejected, "digest %x was rejected as version %d of %s", digest, l.version+1, l.name)

	return &refusal
}

func (c *Catalog) pendingText(environment string) chunkedText {
	if pending := c.ledgers[environment].pending; pending != nil {
		return pending.text
	}

	return nil
}

// parse returns the services of a document. Its cache avoids parsing the bytes
// again when they are accepted or promoted after their submission.
func (c *Catalog) parse(data []byte, digest [32]byte) ([]view.Service, error) {
	for _, cached := range c.parsed {
		if cached.digest == digest && cached.services != nil {
			return cached.services, nil
		}
	}

	parsed, err := document.Parse("document", data)
	if err != nil {
		return nil, err
	}

	c.parsed[1] = c.parsed[0]
	c.parsed[0] = parsedDocument{digest: digest, services: parsed.Services()}

	return c.parsed[0].services, nil
}

func (c *Catalog) replaceOwner(at entry, command ReplaceOwner) (Result, bool) {
	replacement := ownerText(c.cluster, command.Owner, Owner{Name: command.NewName, Key: command.NewKey})
	digest := document.Digest(replacement)

	return c.propose(at, proposal{
		environment: Owners,
		base:        command.Base,
		id:          command.ChangeID,
		author:      command.Author,
		reason:      command.Reason,
		digest:      digest,
		commandHash: hashCommand(command),
	}, func() (chunkedText, *Result) {
		if refusal := c.ledgers[Owners].checkRejected(digest); refusal != nil {
			return nil, refusal
		}

		if _, err := c.ownersAfter(replacement); err != nil {
			refusal := refuse(KindInvalid, "%v", err)

			return nil, &refusal
		}

		return splitChunks(replacement), nil
	})
}

// OwnerDigest returns the digest that both owners sign to replace an owner.
func OwnerDigest(cluster [16]byte, owner string, next Owner) [32]byte {
	return document.Digest(ownerText(cluster, owner, next))
}

func ownerText(cluster [16]byte, owner string, next Owner) []byte {
	return fmt.Appendf(nil, "jayspindle owner\n%x\n%s\n%s\n%s\n", cluster, owner, next.Name, document.FormatKey(next.Key))
}

// ownersAfter returns the owners after the replacement that the text describes.
func (c *Catalog) ownersAfter(replacement []byte) ([2]Owner, error) {
	lines := splitLines(replacement)
	if len(lines) != 5 {
		return c.owners, fmt.Errorf("found %d lines in a replacement of an owner, allowed: 5", len(lines))
	}

	key, err := document.ParseKey(lines[4])
	if err != nil {
		return c.owners, err
	}

	i, ok := c.ownerIndex(lines[2])
	if !ok {
		return c.owners, fmt.Errorf("owner %q does not exist", lines[2])
	}

	next := c.owners
	next[i] = Owner{Name: lines[3], Key: key}

	return next, checkOwners(next)
}
