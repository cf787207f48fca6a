package controller

import (
	"time"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/transport/link"
)

func toAnnounce(request control.Announce) *catalog.Announce {
	return &catalog.Announce{
		Environment: request.Environment,
		Role:        catalog.Role(request.Role),
		Service:     request.Service,
		Zone:        request.Zone,
		DataAddress: request.Data,
		PeerAddress: request.Peer,
		Boot:        catalog.BootID(request.BootID),
		Signature:   request.Signature,
	}
}

func toLeave(request control.Leave) *catalog.Leave {
	phase := catalog.PhaseDraining
	if request.Phase == control.PhaseRemoved {
		phase = catalog.PhaseRemoved
	}

	return &catalog.Leave{Environment: request.Environment, Incarnation: request.Incarnation, Phase: phase}
}

// toChangeReply converts the result of a command on a change. A refused command
// gets a reply, not a link error, so that a conflict can name the change that won.
func toChangeReply(leader, environment string, result catalog.Result) control.ChangeReply {
	reply := control.ChangeReply{
		State:   control.ChangeState(result.Status),
		Refusal: string(result.Kind),
		Message: result.Detail,
		Leader:  leader,
		Change: control.Change{
			Version: result.Version,
			Digest:  result.Digest[:],
			State:   control.ChangeState(result.Status),
			Signers: result.Signers,
		},
	}

	switch {
	case result.Kind == "":
	case result.ConflictingChange != nil:
		reply.State = control.StateConflict
		reply.Change = control.Change{
			Version:  result.ConflictingChange.Version,
			ChangeID: result.ConflictingChange.ChangeID,
			Author:   result.ConflictingChange.Author,
			Digest:   result.ConflictingChange.Digest[:],
			State:    control.ChangeState(result.ConflictingChange.Status),
		}
	default:
		reply.State = control.StateInvalid
	}

	if reply.Message == "" && result.Kind != "" {
		reply.Message = "refused in environment " + environment
	}

	return reply
}

func toChange(record catalog.Record) control.Change {
	change := control.Change{
		Version:  record.Version,
		ChangeID: record.ChangeID,
		Author:   record.Author,
		Digest:   record.Digest[:],
		State:    control.ChangeState(record.Status),
		Reason:   record.Reason,
		Time:     time.Unix(0, record.Submitted),
	}

	for _, signature := range record.Signatures {
		change.Signers = append(change.Signers, signature.Owner)
	}

	return change
}

// linkKind maps the kind of a refusal to the kind of the link error that the
// caller gets.
func linkKind(kind catalog.Kind) link.Kind {
	switch kind {
	case catalog.KindConflict, catalog.KindReused, catalog.KindSuperseded, catalog.KindInUse:
		return link.KindConflict
	case catalog.KindUnknownMember, catalog.KindUnknownService:
		return link.KindNotFound
	case catalog.KindSignature, catalog.KindOwner:
		return link.KindDenied
	case catalog.KindFull:
		return link.KindBusy
	default:
		return link.KindInvalid
	}
}
