package forward

import (
	"log/slog"
	"net/netip"
	"sync/atomic"

	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// Action says what the program does with a datagram.
type Action uint8

// The actions.
const (
	Drop    Action = iota // nothing
	Send                  // seal the header in front of the payload and send both
	Answer                // seal the header and send it without payload
	Deliver               // hand the payload after the received header to its receiver
)

// Decision is the result for one datagram. On a balancer, Deliver sends the
// payload from a socket of Header.Service to Header.Caller. On an agent, it
// passes the payload to QUIC as a packet from Header.Caller.
type Decision struct {
	Action Action
	Reason Reason
	Header datagram.Header
	To     netip.AddrPort // of Send and Answer
}

// Reason says why a datagram was treated as it was. It indexes counters.
type Reason uint8

// The reasons.
const (
	Direct         Reason = iota // sent to the agent that the connection ID names
	First                        // sent to the owner of the bucket
	FirstFallback                // sent to an agent of a later rank, since the earlier ones are skipped
	Delivered                    // delivered to the caller, or to QUIC
	Answered                     // answered with a pong
	Consumed                     // a stale notice or a pong
	NoView                       // no view is in force; dropped, as are all below except WrongAgent
	NoService                    // the service is not in the view
	NoAgent                      // no agent of the service gets new flows
	AgentGone                    // the connection ID names an agent that is not in the view
	NotQUIC                      // the payload is not QUIC
	NotCaller                    // a packet that only servers send, or an impossible source
	NotFirst                     // neither a known connection ID nor a first packet
	SourceLimited                // above the limit of first packets of the source
	ServiceLimited               // above the limit of first packets of the service
	HeaderShort                  // the header is cut short
	HeaderKey                    // the header has an unknown key or format
	HeaderTag                    // the tag of the header is wrong
	HeaderField                  // the header has an unknown kind or flag
	WrongKind                    // the receiver does not accept this kind
	WrongService                 // the header names another service than the agent serves
	WrongAgent                   // the header names another incarnation; answered with a stale notice
	NoPayload                    // there is no payload after the header, or no caller in it
	ReasonCount                  // the number of reasons
)

var reasonNames = [ReasonCount]string{
	"direct", "first", "first-further", "delivered", "answered", "noted", "no-view", "no-service", "no-agent",
	"agent-gone", "not-quic", "not-caller", "not-first", "source-limited", "service-limited", "header-short",
	"header-key", "header-tag", "header-field", "wrong-kind", "wrong-service", "wrong-agent", "no-payload",
}

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}

	return reasonNames[r]
}

// headerReasons maps the errors of opening a header to reasons.
var headerReasons = [datagram.Reasons]Reason{
	datagram.Short: HeaderShort, datagram.UnknownKey: HeaderKey,
	datagram.BadTag: HeaderTag, datagram.BadField: HeaderField,
}

// Counts holds a number of datagrams for each reason.
type Counts [ReasonCount]uint64

// Counters counts decisions by reason. Each goroutine has its own, so that
// cores do not share cache lines; reading them is safe at any time.
type Counters struct {
	values [ReasonCount]atomic.Uint64
	_      [64]byte
}

func (c *Counters) count(decision Decision) Decision {
	c.values[decision.Reason].Add(1)

	return decision
}

// AddTo adds the counters to total.
func (c *Counters) AddTo(total *Counts) {
	for reason := range c.values {
		total[reason] += c.values[reason].Load()
	}
}

func drop(reason Reason) Decision { return Decision{Action: Drop, Reason: reason} }

// assertService asserts that a datagram goes to an agent of its service. The
// attributes are created only for a violation, since they would cost an
// allocation for each datagram.
func assertService(ok bool, service view.ServiceID, agent view.Incarnation) {
	if !ok {
		invariant.Assert(false, "forward: a datagram reaches only its service and agent",
			slog.Int("service", int(service)), slog.Int("agent", int(agent)))
	}
}
