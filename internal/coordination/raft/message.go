package raft

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/wal"
)

// These types are shared with the durable storage of the log.
type (
	// ReplicaID identifies the data directory of a replica.
	ReplicaID = wal.ReplicaID
	// ClusterID identifies a controller group.
	ClusterID = wal.ClusterID
	// HardState is the persistent state of a replica besides its log: term, vote and commit index.
	HardState = wal.HardState
	// Entry is one entry of the log.
	Entry = wal.Entry
	// Member is one replica of the group.
	Member = wal.Member
	// Snapshot replaces the entries up to its index.
	Snapshot = wal.Snapshot
	// Stored is the persistent state from which a restarted replica resumes.
	Stored = wal.Stored
)

const (
	// MaxMessageBytes limits the size of an encoded message.
	MaxMessageBytes = 4 << 20
	// MaxMessageEntries limits the number of entries in one message.
	MaxMessageEntries = 4096
	// MaxMembers limits the size of a membership: 10 controllers and their replacements.
	MaxMembers = 20

	maxAddressBytes = 256
)

// MessageKind is the type of a request or reply.
type MessageKind uint8

// The kinds of messages. The kind of a reply is the one after its request.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageSnapshotReply
	MessageTimeoutNow // the receiver starts an election immediately
)

var messageKindNames = [...]string{
	MessagePreVote:        "pre-vote",
	MessagePreVoteReply:   "pre-vote reply",
	MessageVote:           "vote",
	MessageVoteReply:      "vote reply",
	MessageAppend:         "append",
	MessageAppendReply:    "append reply",
	MessageHeartbeat:      "heartbeat",
	MessageHeartbeatReply: "heartbeat reply",
	MessageSnapshot:       "snapshot",
	MessageSnapshotReply:  "snapshot reply",
	MessageTimeoutNow:     "timeout now",
}

// String returns the kind as it appears in logs and traces.
func (k MessageKind) String() string {
	if int(k) < len(messageKindNames) && k > 0 {
		return messageKindNames[k]
	}

	return fmt.Sprintf("message(%d)", uint8(k))
}

// Message is a message between replicas. Fields that a kind doesn't use are zero.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	Cluster    ClusterID   `cbor:"2,keyasint"`
	Generation uint64      `cbor:"3,keyasint"`
	From       ReplicaID   `cbor:"4,keyasint"`
	To         ReplicaID   `cbor:"5,keyasint"`
	Term       uint64      `cbor:"6,keyasint"` // of the sender; PreVote and its grant: proposed term
	LogIndex   uint64      `cbor:"7,keyasint"` // Append: entry before Entries; votes: last entry; replies: answered index
	LogTerm    uint64      `cbor:"8,keyasint"` // term of the entry at LogIndex
	Entries    []Entry     `cbor:"9,keyasint,omitempty"`
	Commit     uint64      `cbor:"10,keyasint,omitempty"`
	Reject     bool        `cbor:"11,keyasint,omitempty"`
	Hint       uint64      `cbor:"12,keyasint,omitempty"` // AppendReply: highest index at which the logs may match
	HintTerm   uint64      `cbor:"13,keyasint,omitempty"`
	Round      uint64      `cbor:"14,keyasint,omitempty"` // Heartbeat: confirms reads up to this round
	Transfer   bool        `cbor:"15,keyasint,omitempty"` // Vote: the leader requested this election
	Chunk      *Chunk      `cbor:"16,keyasint,omitempty"` // Snapshot
	Offset     uint64      `cbor:"17,keyasint,omitempty"` // SnapshotReply: bytes received
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Size    uint64   `cbor:"4,keyasint"` // of the whole snapshot data, in bytes
	Offset  uint64   `cbor:"5,keyasint"` // of Data in the snapshot data, in bytes
	Data    []byte   `cbor:"6,keyasint"`
}

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: MaxMessageEntries,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}

// EncodeMessage returns a message in CBOR, or an error of KindTooLarge.
func EncodeMessage(message *Message) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, newError("encode", KindInvalid, "%v", err)
	}

	if len(encoded) > MaxMessageBytes {
		return nil, newError("encode", KindTooLarge, "message of %d bytes exceeds %d", len(encoded), MaxMessageBytes)
	}

	return encoded, nil
}

// DecodeMessage reads a message. The error kinds are KindTooLarge and
// KindInvalid.
func DecodeMessage(encoded []byte) (*Message, error) {
	if len(encoded) > MaxMessageBytes {
		return nil, newError("decode", KindTooLarge, "message of %d bytes exceeds %d", len(encoded), MaxMessageBytes)
	}

	message := new(Message)
	if err := decodeMode.Unmarshal(encoded, message); err != nil {
		return nil, newError("decode", KindInvalid, "%v", err)
	}

	if err := message.check(); err != nil {
		return nil, newError("decode", KindInvalid, "%v", err)
	}

	return message, nil
}

// check rejects contents that no correct replica sends.
func (m *Message) check() error {
	if m.Kind < MessagePreVote || m.Kind > MessageTimeoutNow {
		return fmt.Errorf("%v does not exist", m.Kind)
	}

	if m.From == 0 || m.From == m.To {
		return fmt.Errorf("message from replica %v to %v", m.From, m.To)
	}

	if (m.Chunk != nil) != (m.Kind == MessageSnapshot) {
		return fmt.Errorf("%v message with or without a chunk", m.Kind)
	}

	if m.Chunk != nil {
		return m.Chunk.check()
	}

	return m.checkEntries()
}

func (m *Message) checkEntries() error {
	if len(m.Entries) > MaxMessageEntries || (len(m.Entries) > 0 && m.Kind != MessageAppend) {
		return fmt.Errorf("%v message with %d entries", m.Kind, len(m.Entries))
	}

	index, term := m.LogIndex, m.LogTerm
	for _, entry := range m.Entries {
		if entry.Index != index+1 || entry.Term < term || entry.Term > m.Term {
			return fmt.Errorf("entry %d of term %d follows entry %d of term %d", entry.Index, entry.Term, index, term)
		}

		if entry.Kind < wal.EntryCommand || entry.Kind > wal.EntryMembership {
			return fmt.Errorf("entry kind %d does not exist", entry.Kind)
		}

		if entry.Kind == wal.EntryMembership {
			if _, err := decodeMembers(entry.Data); err != nil {
				return err
			}
		}

		index, term = entry.Index, entry.Term
	}

	return nil
}

func (c *Chunk) check() error {
	end := c.Offset + uint64(len(c.Data))
	if end < c.Offset || end > c.Size || c.Size > wal.MaxSnapshotBytes {
		return fmt.Errorf("chunk of %d bytes at offset %d of %d", len(c.Data), c.Offset, c.Size)
	}

	return checkMembers(c.Members)
}
