package agent

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jayspindle/internal/protocol/peer"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// siblingDialTimeout bounds the wait for a link to a sibling. A handshake takes a few
// milliseconds; a sibling that has failed delays each request by this much
// until it is ejected or its lease ends.
const siblingDialTimeout = 500 * time.Millisecond

// siblings holds the links to the other agents of the service, one for each
// incarnation that has been called so far.
type siblings struct {
	identity    *identity.Store
	environment string
	random      *rand.Rand // guarded by mutex
	mutex       sync.Mutex
	clients     map[view.Incarnation]*link.Client
}

func newSiblings(store *identity.Store, environment string, random *rand.Rand) *siblings {
	return &siblings{
		identity:    store,
		environment: environment,
		random:      random,
		clients:     make(map[view.Incarnation]*link.Client),
	}
}

// client returns the link to an agent.
func (s *siblings) client(agent view.Agent) *link.Client {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	client, ok := s.clients[agent.Incarnation]
	if !ok {
		client = link.Dial(link.ClientOptions{
			Addresses:  []netip.AddrPort{agent.Peer},
			Identity:   s.identity,
			PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleAgent}, Environment: s.environment},
			Random:     rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())),
		})
		s.clients[agent.Incarnation] = client
	}

	return client
}

// retain closes the links to agents that left the view.
func (s *siblings) retain(agents []view.Agent) {
	present := make(map[view.Incarnation]bool, len(agents))
	for _, agent := range agents {
		present[agent.Incarnation] = true
	}

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for incarnation, client := range s.clients {
		if !present[incarnation] {
			client.Close()
			delete(s.clients, incarnation)
		}
	}
}

// close closes all links.
func (s *siblings) close() { s.retain(nil) }

// remoteRunner runs calls on the backend server of a sibling.
type remoteRunner struct{ client *link.Client }

// run sends the call and waits for the first frame. It enforces the deadline
// itself, since a claimed call continues after its caller has disconnected.
func (r *remoteRunner) run(ctx context.Context, c *call) *result {
	ctx, started, stop := handOverContext(ctx, c)

	stream, failure := r.send(ctx, stop, c)
	if failure != nil {
		stop()

		return failure
	}

	var first peer.Frame
	if ok, err := stream.Next(&first); err != nil || !ok {
		stream.Close()
		stop()

		return linkErrorResult(err)
	}

	if first.State != peer.Answered {
		stream.Close()
		stop()

		return &result{state: first.State, cause: causeSibling, reason: first.Reason}
	}

	started()

	return &result{
		state:  peer.Answered,
		status: first.Status,
		header: first.Header,
		body:   &streamBody{stream: stream, cancel: stop},
	}
}

// send opens the stream. A link dials until its context ends, so send gives up
// early on a sibling that it cannot reach, to leave time for another one.
func (r *remoteRunner) send(ctx context.Context, stop func(), c *call) (*link.Stream, *result) {
	message := &peer.Run{
		Class:        c.class.Name,
		Method:       c.method,
		Target:       c.target,
		Header:       c.header,
		Body:         c.body,
		Timeout:      time.Until(c.deadline),
		StartTimeout: time.Until(c.startDeadline()),
		Key:          c.key,
	}
	if err := message.Check(); err != nil {
		return nil, notRun(causeSibling, err.Error())
	}

	dialTimer := time.AfterFunc(min(siblingDialTimeout, message.StartTimeout), stop)
	defer dialTimer.Stop()

	stream, err := r.client.Stream(ctx, peer.MethodRun, message)
	if link.KindOf(err) == link.KindTooLarge {
		return nil, notRun(causeSibling, err.Error())
	}

	if err != nil {
		return nil, linkErrorResult(err)
	}

	return stream, nil
}

// linkErrorResult returns "not run" for errors that prove that the sibling did not
// get the request, and "unknown" for all others.
func linkErrorResult(err error) *result {
	if err == nil {
		return unknown(causeSibling, "the sibling ended the response early")
	}

	switch link.KindOf(err) {
	case link.KindUnreachable:
		return notRun(causeSiblingUnreachable, err.Error())
	case link.KindClosing, link.KindUnknownMethod, link.KindBusy, link.KindRedirect, link.KindDenied:
		return notRun(causeSibling, err.Error())
	default:
		return unknown(causeSibling, err.Error())
	}
}

// streamBody reads a body from the frames of a link.
type streamBody struct {
	stream *link.Stream
	cancel func()
	unread []byte
}

// Read returns the next bytes of the body.
func (b *streamBody) Read(buffer []byte) (int, error) {
	for len(b.unread) == 0 {
		var frame peer.Frame

		more, err := b.stream.Next(&frame)
		if err != nil {
			return 0, newError("read response", KindSibling, err)
		}

		if !more {
			return 0, io.EOF
		}

		b.unread = frame.Body
	}

	n := copy(buffer, b.unread)
	b.unread = b.unread[n:]

	return n, nil
}

// Close ends the stream; the sibling then cancels the request if it still runs.
func (b *streamBody) Close() error {
	b.cancel()
	b.stream.Close()

	return nil
}

// peerServer serves the requests of siblings.
type peerServer struct {
	service     string
	local       *localRunner
	classByName func(name string) (view.Class, bool)
	tracer      trace.Tracer
	// drained is closed when feeds must move to other agents.
	drained <-chan struct{}
}

// run serves peer.MethodRun.
func (p *peerServer) run(ctx context.Context, request *link.Request, send func(any) error) error {
	if caller := link.Peer(ctx); caller.Service != p.service {
		return link.Errorf(link.KindDenied, "%s may not run requests of service %q", caller, p.service)
	}

	var message peer.Run
	if err := request.Decode(&message); err != nil {
		return send(&peer.Frame{State: peer.NotRun, Reason: err.Error()})
	}

	class, ok := p.classByName(message.Class)
	if !ok {
		return send(&peer.Frame{State: peer.NotRun, Reason: "unknown class " + message.Class})
	}

	if message.Header == nil {
		message.Header = make(http.Header)
	}

	carrier := propagation.HeaderCarrier(message.Header)

	ctx, span := p.tracer.Start(propagation.TraceContext{}.Extract(ctx, carrier), "sibling.run",
		trace.WithAttributes(attribute.String("class", class.Name)))
	defer span.End()

	propagation.TraceContext{}.Inject(ctx, carrier)

	if class.Feed {
		// The sibling resumes the feed on another agent after the last complete event.
		limited, cancel := context.WithCancel(ctx)
		defer cancel()

		group := conc.NewWaitGroup()
		defer group.Wait()
		defer cancel()

		group.Go(func() {
			select {
			case <-p.drained:
				cancel()
			case <-limited.Done():
			}
		})

		ctx = limited
	}

	outcome := p.local.run(ctx, &call{
		class:    class,
		method:   message.Method,
		target:   message.Target,
		header:   message.Header,
		body:     message.Body,
		deadline: time.Now().Add(message.Timeout),
		startBy:  time.Now().Add(message.StartTimeout),
		key:      message.Key,
	})

	return sendResult(outcome, send)
}

// sendResult sends a result as frames.
func sendResult(outcome *result, send func(any) error) error {
	first := peer.Frame{State: outcome.state, Reason: outcome.reason, Status: outcome.status, Header: outcome.header}
	if outcome.state != peer.Answered {
		return send(&first)
	}

	defer outcome.body.Close()

	if err := send(&first); err != nil {
		return err
	}

	buffer := make([]byte, peer.MaxChunk)

	for {
		n, err := outcome.body.Read(buffer)
		if n > 0 {
			if err := send(&peer.Frame{Body: buffer[:n]}); err != nil {
				return err
			}
		}

		if err == io.EOF {
			return nil
		}

		if err != nil {
			return link.NewError(link.KindInternal, err)
		}
	}
}
