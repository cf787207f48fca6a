package wal

import "fmt"

// ReplicaID identifies the data directory of one replica. It is random and
// never zero.
type ReplicaID uint64

// String returns the ID as 16 hexadecimal digits.
func (id ReplicaID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ClusterID identifies a controller group.
type ClusterID uint64

// String returns the ID as 16 hexadecimal digits.
func (id ClusterID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// Identity identifies a data directory and the group that its replica belongs to.
type Identity struct {
	Format     uint8     `cbor:"1,keyasint"`
	Replica    ReplicaID `cbor:"2,keyasint"`
	Cluster    ClusterID `cbor:"3,keyasint"` // 0 until the replica belongs to a group
	Generation uint64    `cbor:"4,keyasint"`
}

// HardState is the Raft state, besides the log, that a replica must keep across
// restarts.
type HardState struct {
	Term   uint64    `cbor:"1,keyasint"`
	Vote   ReplicaID `cbor:"2,keyasint"` // 0 if none in Term
	Commit uint64    `cbor:"3,keyasint"` // a lower bound of the commit index
}

// EntryKind is the type of an entry's data.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand    EntryKind = iota + 1 // Data is a command of the application
	EntryEmpty                           // first entry of a term, no data
	EntryMembership                      // Data is the encoded list of members
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// Member is one replica of the group.
type Member struct {
	ID      ReplicaID `cbor:"1,keyasint"`
	Address string    `cbor:"2,keyasint"` // IP address and port of its control link
	Learner bool      `cbor:"3,keyasint"` // receives the log but does not vote
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"` // of the entry at Index
	Members []Member `cbor:"3,keyasint"` // membership in force at Index
	Data    []byte   `cbor:"4,keyasint"` // state of the application
}

// Stored is the durable state that Log.TakeStored returns.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot // Index 0 if there is none
	Entries   []Entry  // contiguous from Snapshot.Index+1
}
