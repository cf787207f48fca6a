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
	// HardState is what a replica remembers besides its log.
	HardState = wal.HardState
	// Entry is one entry of the log.
	Entry = wal.Entry
	// Member is one replica of the group.
	Member = wal.Member
	// Snapshot replaces the start of the log.
	Snapshot = wal.Snapshot
	// Stored is what a restarted replica continues from.
	Stored = wal.Stored
)

const (
	// MaxMessageBytes bounds an encoded message.
	MaxMessageBytes = 4 << 20
	// MaxMessageEntries bounds the entries of one message.
	MaxMessageEntries = 4096
	// MaxMembers bounds a membership: 10 controllers and their replacements.
	MaxMembers = 20

	maxAddressBytes = 256
)

// MessageKind tells what a message asks for or answers.
type MessageKind uint8

// The kinds of messages. A reply has the kind that follows its request.
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
	MessageTimeoutNow // the receiver starts an election at once
)

var messageNames = [...]string{
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
	if int(k) < len(messageNames) && k > 0 {
		return messageNames[k]
	}

	return fmt.Sprintf("message(%d)", uint8(k))
}

// Message is what replicas send to each other. Fields that a kind doesn't
// mention are zero.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	Cluster    ClusterID   `cbor:"2,keyasint"`
	Generation uint64      `cbor:"3,keyasint"`
	From       ReplicaID   `cbor:"4,keyasint"`
	To         ReplicaID   `cbor:"5,keyasint"`
	Term       uint64      `cbor:"6,keyasint"` // of the sender, or proposed by a PreVote
	LogIndex   uint64      `cbor:"7,keyasint"` // Append: entry before Entries; votes: last entry; replies: index answered
	LogTerm    uint64      `cbor:"8,keyasint"` // term of the entry at LogIndex
	Entries    []Entry     `cbor:"9,keyasint,omitempty"`
	Commit     uint64      `cbor:"10,keyasint,omitempty"`
	Reject     bool        `cbor:"11,keyasint,omitempty"`
	Hint       uint64      `cbor:"12,keyasint,omitempty"` // AppendReply: where the logs may match
	HintTerm   uint64      `cbor:"13,keyasint,omitempty"`
	Round      uint64      `cbor:"14,keyasint,omitempty"` // Heartbeat: confirms reads up to this round
	Transfer   bool        `cbor:"15,keyasint,omitempty"` // Vote: the leader asked for this election
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

var decoding = mustDecoding()

func mustDecoding() cbor.DecMode {
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
	if err := decoding.Unmarshal(encoded, message); err != nil {
		return nil, newError("decode", KindInvalid, "%v", err)
	}

	if err := message.check(); err != nil {
		return nil, newError("decode", KindInvalid, "%v", err)
	}

	return message, nil
}

// check refuses contents that no replica sends.
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
