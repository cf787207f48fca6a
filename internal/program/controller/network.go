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
	// queueSize is the maximum number of messages that wait for one replica. Raft
	// tolerates lost messages, so a full queue drops new messages.
	queueSize = 256

	// sendTimeout limits one call to another replica. Messages that are older
	// than a few election timeouts are obsolete.
	sendTimeout = 2 * time.Second

	// batchThresholdBytes is the size at which a request accepts no further
	// messages. The rest of control.MaxReplicate leaves room for one more message
	// with an entry of maxProposalBytes.
	batchThresholdBytes = control.MaxReplicate / 8
)

// network sends Raft messages to the other replicas and stores their addresses.
type network struct {
	store  *identity.Store
	logger *slog.Logger

	mutex     sync.Mutex
	random    *rand.Rand
	addresses map[raft.ReplicaID]netip.AddrPort
	senders   map[raft.ReplicaID]*sender
	group     conc.WaitGroup
	closed    bool
	// dropMessages drops all messages, to isolate a controller in tests.
	dropMessages bool
}

// sender delivers messages to one replica in order.
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

// dial returns a client of the controllers at the given addresses.
func (n *network) dial(addresses ...netip.AddrPort) *link.Client {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	return n.dialLocked(addresses...)
}

func (n *network) dialLocked(addresses ...netip.AddrPort) *link.Client {
	return link.Dial(link.ClientOptions{
		Addresses:  addresses,
		Identity:   n.store,
		PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleController}},
		Random:     rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())),
	})
}

// setAddress stores the address at which a replica listens. If the address
// changed, it stops the sender to the former one.
func (n *network) setAddress(replica raft.ReplicaID, address netip.AddrPort) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.addresses[replica] == address {
		return
	}

	n.addresses[replica] = address

	if outdated, ok := n.senders[replica]; ok {
		outdated.cancel()
		delete(n.senders, replica)
	}
}

// address returns the address at which a replica listens.
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

	return n.dropMessages
}

// isolate sets whether all messages are dropped.
func (n *network) isolate(isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	n.dropMessages = isolated
}

// send queues messages for their recipients. It drops messages instead of
// waiting for a full queue.
func (n *network) send(from raft.ReplicaID, ownAddress netip.AddrPort, messages []raft.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()

	if n.closed || n.dropMessages {
		return
	}

	for _, message := range messages {
		address, ok := n.addresses[message.To]
		if !ok {
			continue
		}

		target, ok := n.senders[message.To]
		if !ok {
			target = n.startSender(from, ownAddress, address)
			n.senders[message.To] = target
		}

		select {
		case target.queue <- message:
		default:
		}
	}
}

func (n *network) startSender(from raft.ReplicaID, ownAddress, to netip.AddrPort) *sender {
	ctx, cancel := context.WithCancel(context.Background())
	started := &sender{client: n.dialLocked(to), cancel: cancel, queue: make(chan raft.Message, queueSize)}

	n.group.Go(func() {
		defer started.client.Close()

		for ctx.Err() == nil {
			select {
			case first := <-started.queue:
				n.deliver(ctx, started, control.Replicate{
					Replica: uint64(from), Address: ownAddress, Messages: started.encodeBatch(first, n.logger),
				})
			case <-ctx.Done():
			}
		}
	})

	return started
}

// encodeBatch encodes the first message and the queued ones, until their total
// size reaches batchThresholdBytes.
func (s *sender) encodeBatch(first raft.Message, logger *slog.Logger) [][]byte {
	var (
		list  [][]byte
		total int
	)

	for message, ok := first, true; ok; {
		encoded, err := raft.EncodeMessage(&message)
		if err != nil {
			logger.Error("could not encode a raft message", "error", err)
		} else {
			list = append(list, encoded)
			total += len(encoded)
		}

		ok = false

		if total < batchThresholdBytes {
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
		n.logger.Debug("could not send raft messages", "error", err)
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
