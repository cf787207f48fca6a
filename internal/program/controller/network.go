package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	// queueSize bounds the messages that wait for one replica. The log copes
	// with lost messages, so a full queue drops the newest.
	queueSize = 256

	// sendTimeout bounds one call to another replica. Messages that are older
	// than a few election timeouts have no use.
	sendTimeout = 2 * time.Second

	// collectLimit is the size in bytes from which a request takes no further
	// message. What remains of control.MaxReplicate holds one more message with
	// an entry of maxProposal.
	collectLimit = control.MaxReplicate / 8
)

// network sends messages of the log to the other replicas and knows their
// addresses.
type network struct {
	store  *identity.Store
	logger *slog.Logger

	mutex     sync.Mutex
	random    *rand.Rand
	addresses map[raft.ReplicaID]netip.AddrPort
	senders   map[raft.ReplicaID]*sender
	group     conc.WaitGroup
	closed    bool
	// cut drops all messages, to isolate a controller in tests.
	cut bool
}

// sender delivers the messages of one replica in order.
type sender struct {
	client *link.Client
	cancel context.CancelFunc
	queue  chan raft.Message
}

func newNetwork(store *identity.Store, random *rand.Rand, logger *slog.Logger) *network {
	return &network{
		store:     store,
		logger:    logger,
		random:    rand.New(rand.NewPCG(random.Uint64(), random.Uint64())),
		addresses: make(map[raft.ReplicaID]netip.AddrPort),
		senders:   make(map[raft.ReplicaID]*sender),
	}
}

// dial returns a client of other controllers.
func (n *network) dial(addresses ...netip.AddrPort) *link.Client {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.dialLocked(addresses...)
}

func (n *network) dialLocked(addresses ...netip.AddrPort) *link.Client {
	return link.Dial(link.ClientOptions{
		Addresses: addresses,
		Identity:  n.store,
		Accept:    identity.Policy{Roles: []identity.Role{identity.RoleController}},
		Random:    rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())),
	})
}

// learn records where a replica listens.
func (n *network) learn(replica raft.ReplicaID, address netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.addresses[replica] == address {
		return
	}

	n.addresses[replica] = address

	if moved, ok := n.senders[replica]; ok {
		moved.cancel()
		delete(n.senders, replica)
	}
}

// address returns where a replica listens.
func (n *network) address(replica raft.ReplicaID) (netip.AddrPort, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	address, ok := n.addresses[replica]

	return address, ok
}

// isolated reports whether messages are dropped.
func (n *network) isolated() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.cut
}

// isolate drops all messages from now on, or no longer.
func (n *network) isolate(cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.cut = cut
}

// send queues messages. It never blocks.
func (n *network) send(from raft.ReplicaID, listen netip.AddrPort, list []raft.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.closed || n.cut {
		return
	}

	for _, message := range list {
		address, ok := n.addresses[message.To]
		if !ok {
			continue
		}

		target, ok := n.senders[message.To]
		if !ok {
			target = n.start(from, listen, address)
			n.senders[message.To] = target
		}

		select {
		case target.queue <- message:
		default:
		}
	}
}

func (n *network) start(from raft.ReplicaID, listen, to netip.AddrPort) *sender {
	ctx, cancel := context.WithCancel(context.Background())
	started := &sender{client: n.dialLocked(to), cancel: cancel, queue: make(chan raft.Message, queueSize)}

	n.group.Go(func() {
		defer started.client.Close()

		for ctx.Err() == nil {
			select {
			case first := <-started.queue:
				n.deliver(ctx, started, control.Replicate{
					Replica: uint64(from), Address: listen, Messages: started.collect(first, n.logger),
				})
			case <-ctx.Done():
			}
		}
	})

	return started
}

// collect adds the messages that wait already, up to collectLimit.
func (s *sender) collect(first raft.Message, logger *slog.Logger) [][]byte {
	var (
		list  [][]byte
		total int
	)

	for message, ok := first, true; ok; {
		encoded, err := raft.EncodeMessage(&message)
		if err != nil {
			logger.Error("a message of the log cannot be encoded", "error", err)
		} else {
			list = append(list, encoded)
			total += len(encoded)
		}

		ok = false

		if total < collectLimit {
			select {
			case message = <-s.queue:
				ok = true
			default:
			}
		}
	}

	return list
}

func (n *network) deliver(ctx context.Context, target *sender, request control.Replicate) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()

	if len(request.Messages) == 0 || n.isolated() {
		return
	}

	if err := target.client.Call(ctx, control.MethodReplicate, request, nil); err != nil {
		n.logger.Debug("messages of the log are lost", "error", err)
	}
}

// close stops all senders.
func (n *network) close() {
	n.mutex.Lock()
	n.closed = true

	for _, target := range n.senders {
		target.cancel()
	}
	n.mutex.Unlock()

	n.group.Wait()
}
