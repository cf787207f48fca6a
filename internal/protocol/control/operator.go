package control

import (
	"net/netip"
	"time"

	"jayspindle/internal/state/view"
)

// Status asks for the state of an environment and of the controller group.
type Status struct {
	Environment string `cbor:"1,keyasint"`
	// After asks for the instances with a higher incarnation, MaxInstances at a
	// time.
	After view.Incarnation `cbor:"2,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (s *Status) Check() error {
	return newValidator("status").requiredName("environment", s.Environment).err
}

// Instance describes one agent or balancer as known to the leader.
type Instance struct {
	Incarnation view.Incarnation `cbor:"1,keyasint" json:"incarnation"`
	Role        string           `cbor:"2,keyasint" json:"role"`
	Service     string           `cbor:"3,keyasint,omitempty" json:"service,omitempty"`
	Zone        string           `cbor:"4,keyasint" json:"zone"`
	Data        netip.AddrPort   `cbor:"5,keyasint" json:"data"`
	State       view.State       `cbor:"6,keyasint" json:"state"`
	Weight      uint8            `cbor:"7,keyasint" json:"weight"`
	Load        uint8            `cbor:"8,keyasint" json:"load"`         // percent, approximate
	Position    view.Position    `cbor:"9,keyasint" json:"position"`     // of the applied view, zero if not reported yet
	InForce     time.Duration    `cbor:"10,keyasint" json:"in_force"`    // how long the position has been in force
	Renewed     time.Duration    `cbor:"11,keyasint" json:"renewed_ago"` // since the last renewal, negative if none
}

// StatusReply is the state of an environment, read from the leader.
type StatusReply struct {
	Environment string        `cbor:"1,keyasint"`
	Leader      string        `cbor:"2,keyasint"`
	Term        uint64        `cbor:"3,keyasint"`
	Position    view.Position `cbor:"4,keyasint"`
	Version     uint64        `cbor:"5,keyasint"` // in force
	Digest      []byte        `cbor:"6,keyasint"` // of the document in force
	Pending     *Change       `cbor:"7,keyasint,omitempty"`
	Services    uint32        `cbor:"8,keyasint"`
	Agents      uint32        `cbor:"9,keyasint"`
	Balancers   uint32        `cbor:"10,keyasint"`
	// InForce counts the instances whose last renewal reported the position or a
	// later one.
	InForce  uint32 `cbor:"11,keyasint"`
	Rotation uint64 `cbor:"12,keyasint"` // number of fabric key rotations so far
	// Instances lists at most MaxInstances in ascending order of incarnation.
	Instances []Instance `cbor:"13,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (s *StatusReply) Check() error {
	v := newValidator("status reply").
		maxBytes("environment", s.Environment, MaxName).
		maxBytes("leader", s.Leader, MaxName).
		optionalDigest(s.Digest).
		maxItems("instances", len(s.Instances), MaxInstances)
	if s.Pending != nil {
		v = s.Pending.validate(v)
	}

	return v.err
}

// History asks for the newest changes of an environment.
type History struct {
	Environment string `cbor:"1,keyasint"`
	Limit       uint16 `cbor:"2,keyasint"` // at most MaxHistory
}

// Check reports the first field out of bounds.
func (h *History) Check() error {
	return newValidator("history").
		requiredName("environment", h.Environment).
		require(h.Limit <= MaxHistory, "limit is %d, at most %d is allowed", h.Limit, MaxHistory).
		err
}

// HistoryReply lists changes, newest first.
type HistoryReply struct {
	Changes []Change `cbor:"1,keyasint"`
	Leader  string   `cbor:"2,keyasint"`
}

// Check reports the first field out of bounds.
func (h *HistoryReply) Check() error {
	v := newValidator("history reply").
		maxItems("changes", len(h.Changes), MaxHistory).
		maxBytes("leader", h.Leader, MaxName)

	for i := range h.Changes {
		v = h.Changes[i].validate(v)
	}

	return v.err
}

// Explain asks who submitted and signed a change, how it was decided and at
// how many instances it is in force.
type Explain struct {
	Environment string `cbor:"1,keyasint"`
	Topic       string `cbor:"2,keyasint"` // a change ID or a version
}

// Check reports the first field out of bounds.
func (e *Explain) Check() error {
	return newValidator("explain").requiredName("environment", e.Environment).maxBytes("topic", e.Topic, MaxTopic).err
}

// ExplainReply is a human-readable explanation.
type ExplainReply struct {
	Lines  []string `cbor:"1,keyasint"`
	Leader string   `cbor:"2,keyasint"`
}

// Check reports the first field out of bounds.
func (e *ExplainReply) Check() error {
	return newValidator("explain reply").
		maxItems("lines", len(e.Lines), MaxLines).
		maxBytes("leader", e.Leader, MaxName).
		err
}

// MembersAction is the operation of a Members request.
type MembersAction string

// The operations on the controller group. Only one membership change may be in
// progress at a time.
const (
	MembersList    MembersAction = "list" // as known to the leader
	MembersLocal   MembersAction = "here" // as known to the controller that receives the request
	MembersAdd     MembersAction = "add"  // as a learner
	MembersPromote MembersAction = "promote"
	MembersRemove  MembersAction = "remove"
)

// Member is one controller of the group. Agents and balancers are Instances.
type Member struct {
	Replica uint64         `cbor:"1,keyasint"` // random ID of the replica (wal.ReplicaID)
	Name    string         `cbor:"2,keyasint"`
	Address netip.AddrPort `cbor:"3,keyasint"`
	Voter   bool           `cbor:"4,keyasint"`
	Match   uint64         `cbor:"5,keyasint,omitempty"` // highest log index that it is known to have stored
}

// Members lists or changes the controller group.
type Members struct {
	Action MembersAction `cbor:"1,keyasint"`
	Member Member        `cbor:"2,keyasint"`
}

// Check reports the first field out of bounds.
func (m *Members) Check() error {
	readOnly := m.Action == MembersList || m.Action == MembersLocal

	return newValidator("members").
		require(readOnly || m.Action == MembersAdd || m.Action == MembersPromote || m.Action == MembersRemove,
			"action is %q", m.Action).
		require(readOnly || m.Member.Replica != 0, "replica is 0").
		require(m.Action != MembersAdd || m.Member.Address.IsValid(), "address is %s", m.Member.Address).
		maxBytes("name", m.Member.Name, MaxName).
		err
}

// MembersReply lists the controllers after the action.
type MembersReply struct {
	Members []Member `cbor:"1,keyasint"`
	Leader  string   `cbor:"2,keyasint"`
	// Cluster and Generation identify the group, 0 if the controller belongs to
	// none.
	Cluster    uint64 `cbor:"3,keyasint"`
	Generation uint64 `cbor:"4,keyasint"`
	// Founding reports whether the controller is waiting to bootstrap a new group.
	Founding bool `cbor:"5,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (m *MembersReply) Check() error {
	return newValidator("members reply").
		maxItems("members", len(m.Members), MaxMembers).
		maxBytes("leader", m.Leader, MaxName).
		err
}

// RotateKey asks for a new fabric key. The leader creates the secret.
type RotateKey struct {
	Environment string `cbor:"1,keyasint"`
	Rotation    uint64 `cbor:"2,keyasint"` // rotations so far, so that a resend does not rotate twice
}

// Check reports the first field out of bounds.
func (r *RotateKey) Check() error {
	return newValidator("rotate key").requiredName("environment", r.Environment).err
}

// RotateKeyReply identifies the newest fabric key, without its secret.
type RotateKeyReply struct {
	KeyID    uint8  `cbor:"1,keyasint"`
	Rotation uint64 `cbor:"2,keyasint"` // rotations so far
	Leader   string `cbor:"3,keyasint"`
}

// Check reports the first field out of bounds.
func (r *RotateKeyReply) Check() error {
	return newValidator("rotate key reply").maxBytes("leader", r.Leader, MaxName).err
}

// ReadIndex asks the leader for the log index that another controller must have
// applied before it serves a read.
type ReadIndex struct{}

// Check accepts every request.
func (r *ReadIndex) Check() error { return nil }

// ReadIndexReply returns the index that a quorum confirmed.
type ReadIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Check accepts every reply.
func (r *ReadIndexReply) Check() error { return nil }

// Replicate carries Raft messages between controllers.
type Replicate struct {
	Replica  uint64         `cbor:"1,keyasint"` // sender
	Address  netip.AddrPort `cbor:"2,keyasint"` // where the sender listens
	Messages [][]byte       `cbor:"3,keyasint"`
}

// Check reports the first field out of bounds.
func (r *Replicate) Check() error {
	total := 0
	for _, message := range r.Messages {
		total += len(message)
	}

	return newValidator("replicate").
		require(r.Replica != 0, "replica is 0").
		require(r.Address.IsValid(), "address is %s", r.Address).
		require(total > 0 && total <= MaxReplicate, "messages have %d bytes, 1 to %d are allowed", total, MaxReplicate).
		err
}
