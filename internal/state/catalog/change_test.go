package catalog

import (
	"crypto/ed25519"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/document"
)

// Guards against a change that one owner alone puts in force, and against a
// signature that is accepted for another change, owner or decision.
func TestTwoOwnersAccept(t *testing.T) {
	l := newCommandLog(t)
	data, other := newDocument(2, "first"), newDocument(2, "other")
	digest := document.Digest(data)
	l.mustApply(submitCommand(Trial, 0, "c1", data))

	wrongOwner := signCommand("ann", Trial, 1, digest)
	wrongOwner.Sign.Owner = "bob"
	wrongDecision := signCommand("ann", Trial, 1, digest)
	wrongDecision.Sign.Signature = document.Sign(keys["ann"], Trial, 1, digest, document.Reject)
	unknownOwner := signCommand("ann", Trial, 1, digest)
	unknownOwner.Sign.Owner = "eve"

	l.mustRefuse(KindSignature, wrongOwner)
	l.mustRefuse(KindSignature, wrongDecision)
	l.mustRefuse(KindOwner, unknownOwner)
	l.mustRefuse(KindNotPending, signCommand("ann", Trial, 2, digest))
	l.mustRefuse(KindNotPending, signCommand("ann", Production, 1, digest))
	l.mustRefuse(KindNotPending, signCommand("ann", Trial, 1, document.Digest(other)))

	is := is.New(t)
	is.Equal(l.mustApply(signCommand("ann", Trial, 1, digest)).Status, Pending)
	is.Equal(l.mustApply(signCommand("ann", Trial, 1, digest)).Status, Pending) // the same owner again
	is.Equal(l.state.Version(Trial), uint64(0))
	is.Equal(l.mustApply(signCommand("bob", Trial, 1, digest)).Status, Accepted)
	is.Equal(l.mustApply(signCommand("ann", Trial, 1, digest)).Status, Accepted) // resend after the acceptance
	is.Equal(len(assertView(t, l.state, Trial).Services()), 2)

	record, ok := l.state.Explain(Trial, "c1")
	is.True(ok)
	is.Equal(record.Document, data)
	is.Equal(len(record.Signatures), 2)
}

// Guards against two conflicting changes that both come into force, and against a
// resend that gets a different answer from the first submission.
func TestConflictingSubmissions(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	one, two := newDocument(1, "one"), newDocument(1, "two")

	first := l.mustApply(submitCommand(Trial, 0, "c1", one))
	lost := l.apply(submitCommand(Trial, 0, "c2", two))
	is.Equal(lost.Kind, KindConflict)
	is.Equal(lost.ConflictingChange.ChangeID, "c1")
	is.Equal(lost.ConflictingChange.Status, Pending)

	l.mustRefuse(KindReused, submitCommand(Trial, 0, "c1", two))
	l.mustApply(rejectCommand("bob", Trial, 1, document.Digest(one)))

	l.state = restoreCatalog(t, takeSnapshot(t, l.state))
	is.Equal(l.apply(submitCommand(Trial, 0, "c1", one)), first) // the same answer after a restore
	is.Equal(l.apply(submitCommand(Trial, 0, "c2", two)), lost)  // although nothing is pending now

	l.mustAccept(Trial, two)
	late := l.apply(submitCommand(Trial, 0, "c3", one))
	is.Equal(late.ConflictingChange.Digest, document.Digest(two))
	is.Equal(late.ConflictingChange.Status, Accepted)
}

// Guards against a signature made before a rejection that becomes valid again when
// the same bytes are resubmitted.
func TestResubmitAfterRejection(t *testing.T) {
	l := newCommandLog(t)
	data := newDocument(1, "one")
	digest := document.Digest(data)

	l.mustApply(submitCommand(Trial, 0, "c1", data))
	l.mustApply(signCommand("ann", Trial, 1, digest))
	is.New(t).Equal(l.mustApply(rejectCommand("ann", Trial, 1, digest)).Status, Rejected)
	is.New(t).Equal(l.mustApply(rejectCommand("ann", Trial, 1, digest)).Status, Rejected) // resend
	l.mustRefuse(KindRejected, submitCommand(Trial, 0, "c2", data))
	l.mustRefuse(KindNotPending, signCommand("bob", Trial, 1, digest))
}

// Guards against bytes in production that were never accepted in trial.
func TestPromotion(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	data := newDocument(3, "one")
	digest := document.Digest(data)
	promote := Command{Promote: &Promote{ChangeID: "p1", Author: "bob", Digest: digest}}

	l.mustRefuse(KindNotInTrial, promote)
	l.mustRefuse(KindNotInTrial, submitCommand(Production, 0, "p2", data))
	l.mustApply(submitCommand(Trial, 0, "c1", data))
	l.mustRefuse(KindNotInTrial, promote) // still pending in trial
	l.mustApply(signCommand("ann", Trial, 1, digest))
	l.mustApply(signCommand("bob", Trial, 1, digest))

	is.Equal(l.mustApply(promote).Status, Pending)
	l.mustRefuse(KindSignature, Command{Sign: &Sign{ // the signature for trial
		Environment: Production, Version: 1, Digest: digest, Owner: "ann",
		Signature: document.Sign(keys["ann"], Trial, 1, digest, document.Accept),
	}})
	l.mustApply(signCommand("ann", Production, 1, digest))
	l.mustApply(signCommand("bob", Production, 1, digest))
	is.Equal(assertView(t, l.state, Production).DocumentDigest(), digest)
}

// Guards against services that change their ID or bucket count, and against the
// reuse of an ID.
func TestServices(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)

	l.mustAccept(Trial, newDocument(2, "one"))
	l.mustApply(announceCommand("s0", 1, 1))
	l.mustApply(announceCommand("s1", 2, 2))
	old, _ := l.state.View(Trial).ServiceByName("s1")

	l.mustAccept(Trial, newDocument(1, "without s1"))
	is.Equal(len(assertView(t, l.state, Trial).Agents()), 1) // the agent of s1 left
	l.mustRefuse(KindUnknownService, announceCommand("s1", 2, 3))

	l.mustAccept(Trial, newDocument(2, "with s1"))
	readded, _ := l.state.View(Trial).ServiceByName("s1")
	is.True(readded.ID > old.ID) // an ID is never reused

	l.mustRefuse(KindInvalid,
		submitCommand(Trial, 3, "b", replaceOnce(newDocument(2, "x"), "slots: 3", "slots: 3, buckets: 64")))
	l.mustRefuse(KindInvalid, submitCommand(Trial, 3, "s", replaceOnce(newDocument(2, "x"), "slots: 3", "slots: 0")))
	l.mustRefuse(KindOwner, Command{Submit: &Submit{Environment: Trial, Base: 3, ChangeID: "e", Author: "eve"}})
}

// Guards against the replacement of an owner without a signature of the old key,
// and against signatures of a replaced key that still count.
func TestReplaceOwner(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)
	data := newDocument(1, "one")
	l.mustApply(submitCommand(Trial, 0, "c1", data))
	l.mustApply(signCommand("ann", Trial, 1, document.Digest(data)))

	next := Owner{Name: "ann", Key: publicKey(3)}
	digest := OwnerDigest([16]byte{}, "ann", next)
	l.mustRefuse(KindInvalid, Command{ReplaceOwner: &ReplaceOwner{ // both owners would have the same key
		ChangeID: "o0", Author: "bob", Owner: "ann", NewName: "ann", NewKey: publicKey(2),
	}})
	l.mustApply(Command{ReplaceOwner: &ReplaceOwner{
		ChangeID: "o1", Author: "bob", Owner: "ann", NewName: "ann", NewKey: next.Key,
	}})
	l.mustApply(signCommand("bob", Owners, 1, digest))

	withNewKey := signCommand("ann", Owners, 1, digest)
	withNewKey.Sign.Signature = document.Sign(privateKey(3), Owners, 1, digest, document.Accept)
	l.mustRefuse(KindSignature, withNewKey)
	is.Equal(l.state.CurrentOwners()[0].Key, publicKey(1)) // bob alone changes nothing
	is.Equal(l.mustApply(signCommand("ann", Owners, 1, digest)).Status, Accepted)
	is.Equal(l.state.CurrentOwners()[0].Key, next.Key)
	assertView(t, l.state, Trial)

	is.Equal(l.mustApply(signCommand("bob", Trial, 1, document.Digest(data))).Status, Pending) // ann's was removed
	l.mustRefuse(KindSignature, signCommand("ann", Trial, 1, document.Digest(data)))
}

// Guards against unbounded history, and against a limit that drops documents that
// can still be promoted.
func TestHistoryLimit(t *testing.T) {
	l := newCommandLog(t)
	is := is.New(t)

	for i := range maxKeptDocuments + 3 {
		l.mustAccept(Trial, newDocument(1, fmt.Sprint(i)))
	}

	history := l.state.History(Trial, 1000)
	is.Equal(len(history), maxKeptDocuments+3)
	is.Equal(history[0].Version, uint64(maxKeptDocuments+3))

	dropped, _ := l.state.ExplainVersion(Trial, 3)
	kept, _ := l.state.ExplainVersion(Trial, 4)
	is.Equal(dropped.Document, nil)
	is.Equal(dropped.Author, "ann")
	is.Equal(kept.Document, newDocument(1, "3"))
	is.Equal(ed25519.Verify(publicKey(1), document.SignedText(Trial, 3, dropped.Digest, document.Accept),
		dropped.Signatures[0].Signature), true)
}
