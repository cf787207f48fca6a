package catalog

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/document"
)

// Guards against a change that one owner alone puts in force, and against a
// signature that counts for anything but its own change.
func TestTwoOwnersAccept(t *testing.T) {
	l := newLog(t)
	data, other := yamlOf(2, "first"), yamlOf(2, "other")
	digest := document.Digest(data)
	l.ok(submitOf(Trial, 0, "c1", data))

	swapped := signOf("ann", Trial, 1, digest)
	swapped.Sign.Owner = "bob"
	rejection := signOf("ann", Trial, 1, digest)
	rejection.Sign.Signature = document.Sign(keys["ann"], Trial, 1, digest, document.Reject)
	stranger := signOf("ann", Trial, 1, digest)
	stranger.Sign.Owner = "eve"

	l.refused(KindSignature, swapped)
	l.refused(KindSignature, rejection)
	l.refused(KindOwner, stranger)
	l.refused(KindNotPending, signOf("ann", Trial, 2, digest))
	l.refused(KindNotPending, signOf("ann", Production, 1, digest))
	l.refused(KindNotPending, signOf("ann", Trial, 1, document.Digest(other)))

	is := is.New(t)
	is.Equal(l.ok(signOf("ann", Trial, 1, digest)).Status, Pending)
	is.Equal(l.ok(signOf("ann", Trial, 1, digest)).Status, Pending) // one owner twice is one owner
	is.Equal(l.state.Version(Trial), uint64(0))
	is.Equal(l.ok(signOf("bob", Trial, 1, digest)).Status, Accepted)
	is.Equal(l.ok(signOf("ann", Trial, 1, digest)).Status, Accepted) // resend after the acceptance
	is.Equal(len(assertView(t, l.state, Trial).Services()), 2)

	record, ok := l.state.Explain(Trial, "c1")
	is.True(ok)
	is.Equal(record.Document, data)
	is.Equal(len(record.Signatures), 2)
}

// Guards against two racing changes both coming into force, and against a
// resend that gets another answer than the first one.
func TestRaces(t *testing.T) {
	l := newLog(t)
	is := is.New(t)
	one, two := yamlOf(1, "one"), yamlOf(1, "two")

	first := l.ok(submitOf(Trial, 0, "c1", one))
	lost := l.apply(submitOf(Trial, 0, "c2", two))
	is.Equal(lost.Kind, KindConflict)
	is.Equal(lost.Winner.ChangeID, "c1")
	is.Equal(lost.Winner.Status, Pending)

	l.refused(KindReused, submitOf(Trial, 0, "c1", two))
	l.ok(rejectOf("bob", Trial, 1, document.Digest(one)))

	l.state = restored(t, snapshotOf(t, l.state))
	is.Equal(l.apply(submitOf(Trial, 0, "c1", one)), first) // first answer after a restart
	is.Equal(l.apply(submitOf(Trial, 0, "c2", two)), lost)  // although nothing is pending now

	l.accept(Trial, two)
	late := l.apply(submitOf(Trial, 0, "c3", one))
	is.Equal(late.Winner.Digest, document.Digest(two))
	is.Equal(late.Winner.Status, Accepted)
}

// Guards against a signature given before a rejection that accepts the same
// bytes when they are submitted again.
func TestRejectedBytes(t *testing.T) {
	l := newLog(t)
	data := yamlOf(1, "one")
	digest := document.Digest(data)

	l.ok(submitOf(Trial, 0, "c1", data))
	l.ok(signOf("ann", Trial, 1, digest))
	is.New(t).Equal(l.ok(rejectOf("ann", Trial, 1, digest)).Status, Rejected)
	is.New(t).Equal(l.ok(rejectOf("ann", Trial, 1, digest)).Status, Rejected) // resend
	l.refused(KindRejected, submitOf(Trial, 0, "c2", data))
	l.refused(KindNotPending, signOf("bob", Trial, 1, digest))
}

// Guards against bytes in production that were never accepted in trial.
func TestPromotion(t *testing.T) {
	l := newLog(t)
	is := is.New(t)
	data := yamlOf(3, "one")
	digest := document.Digest(data)
	promote := Command{Promote: &Promote{ChangeID: "p1", Author: "bob", Digest: digest}}

	l.refused(KindNotInTrial, promote)
	l.refused(KindNotInTrial, submitOf(Production, 0, "p2", data))
	l.ok(submitOf(Trial, 0, "c1", data))
	l.refused(KindNotInTrial, promote) // pending is not accepted
	l.ok(signOf("ann", Trial, 1, digest))
	l.ok(signOf("bob", Trial, 1, digest))

	is.Equal(l.ok(promote).Status, Pending)
	l.refused(KindSignature, Command{Sign: &Sign{ // the signature for trial
		Environment: Production, Version: 1, Digest: digest, Owner: "ann",
		Signature: document.Sign(keys["ann"], Trial, 1, digest, document.Accept),
	}})
	l.ok(signOf("ann", Production, 1, digest))
	l.ok(signOf("bob", Production, 1, digest))
	is.Equal(assertView(t, l.state, Production).DocumentDigest(), digest)
}

// Guards against service IDs that move, come back or change their buckets.
func TestServices(t *testing.T) {
	l := newLog(t)
	is := is.New(t)

	l.accept(Trial, yamlOf(2, "one"))
	l.ok(announceOf("s0", 1, 1))
	l.ok(announceOf("s1", 2, 2))
	old, _ := l.state.View(Trial).ServiceByName("s1")

	l.accept(Trial, yamlOf(1, "without s1"))
	is.Equal(len(assertView(t, l.state, Trial).Agents()), 1) // the agent of s1 left
	l.refused(KindUnknownService, announceOf("s1", 2, 3))

	l.accept(Trial, yamlOf(2, "with s1"))
	again, _ := l.state.View(Trial).ServiceByName("s1")
	is.True(again.ID > old.ID) // an ID is never reused

	l.refused(KindInvalid, submitOf(Trial, 3, "b", replaceOnce(yamlOf(2, "x"), "slots: 3", "slots: 3, buckets: 64")))
	l.refused(KindInvalid, submitOf(Trial, 3, "s", replaceOnce(yamlOf(2, "x"), "slots: 3", "slots: 0")))
	l.refused(KindOwner, Command{Submit: &Submit{Environment: Trial, Base: 3, ChangeID: "e", Author: "eve"}})
}

// Guards against an owner who is replaced without his old key's signature,
// and against signatures of a replaced key that still count.
func TestReplaceOwner(t *testing.T) {
	l := newLog(t)
	is := is.New(t)
	data := yamlOf(1, "one")
	l.ok(submitOf(Trial, 0, "c1", data))
	l.ok(signOf("ann", Trial, 1, document.Digest(data)))

	next := Owner{Name: "ann", Key: public(3)}
	digest := OwnerDigest([16]byte{}, "ann", next)
	l.refused(KindInvalid, Command{ReplaceOwner: &ReplaceOwner{ // both owners with one key
		ChangeID: "o0", Author: "bob", Owner: "ann", NewName: "ann", NewKey: public(2),
	}})
	l.ok(Command{ReplaceOwner: &ReplaceOwner{
		ChangeID: "o1", Author: "bob", Owner: "ann", NewName: "ann", NewKey: next.Key,
	}})
	l.ok(signOf("bob", Owners, 1, digest))

	withNewKey := signOf("ann", Owners, 1, digest)
	withNewKey.Sign.Signature = document.Sign(private(3), Owners, 1, digest, document.Accept)
	l.refused(KindSignature, withNewKey)
	is.Equal(l.state.CurrentOwners()[0].Key, public(1)) // bob alone changes nothing
	is.Equal(l.ok(signOf("ann", Owners, 1, digest)).Status, Accepted)
	is.Equal(l.state.CurrentOwners()[0].Key, next.Key)
	assertView(t, l.state, Trial)

	is.Equal(l.ok(signOf("bob", Trial, 1, document.Digest(data))).Status, Pending) // ann's old signature is void
	l.refused(KindSignature, signOf("ann", Trial, 1, document.Digest(data)))
}

// Guards against unbounded history, and against a bound that drops versions
// which can still be promoted.
func TestHistoryBound(t *testing.T) {
	l := newLog(t)
	is := is.New(t)

	for i := range keptDocuments + 3 {
		l.accept(Trial, yamlOf(1, fmt.Sprint(i)))
	}

	history := l.state.History(Trial, 1000)
	is.Equal(len(history), keptDocuments+3)
	is.Equal(history[0].Version, uint64(keptDocuments+3))

	forgotten, _ := l.state.ExplainVersion(Trial, 3)
	kept, _ := l.state.ExplainVersion(Trial, 4)
	is.Equal(forgotten.Document, nil)
	is.Equal(forgotten.Author, "ann")
	is.Equal(kept.Document, yamlOf(1, "3"))
	is.Equal(ed25519.Verify(public(1), document.SignedText(Trial, 3, forgotten.Digest, document.Accept),
		forgotten.Signatures[0].Signature), true)
}
