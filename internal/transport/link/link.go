// Package link connects the processes of the system by mutually authenticated
// QUIC (RFC 9000) connections, dialed by IP address.
//
// # Usage
//
// A server registers its methods and serves until its context ends:
//
//	server, err := link.Listen(address, link.ServerOptions{Identity: store, PeerPolicy: policy, Logger: logger})
//	server.Handle("submit", func(ctx context.Context, request *link.Request) (any, error) {
//		var submit control.Submit
//		if err := request.Decode(&submit); err != nil {
//			return nil, err
//		}
//		// link.Peer(ctx) is the authenticated caller.
//		return reply, nil
//	})
//	err = server.Serve(ctx)
//
// A client dials on first use, over several addresses in turn, and follows
// redirects to the leader:
//
//	client := link.Dial(link.ClientOptions{Addresses: addresses, Identity: store, PeerPolicy: policy, Random: random})
//	err := client.Call(ctx, "submit", submit, &reply)
//	stream, err := client.Stream(ctx, "watch", watch)
//	err = stream.Next(&update)
//
// Each call and each stream uses one QUIC stream of length-prefixed CBOR
// (RFC 8949) frames of at most MaxFrameBytes. A handler's error is sent to the
// caller with its kind, message and redirect.
//
// # Liveness
//
// Both ends send keep-alives. A connection that receives no packet for
// PathTimeout is closed, and the client dials the same address from a new socket
// at once. If that succeeds, only the old path had failed (KindPathTimeout; a NAT or
// firewall on the path may have lost its state). If it fails, the peer counts as
// gone (KindConnectionLost) and the next address is tried.
package link

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// MaxFrameBytes is the size of the largest frame in bytes. A document of 1 MiB
	// and its envelope fit.
	MaxFrameBytes = 2 << 20

	// PathTimeout is the time within which a path that delivers no packets is
	// detected. The idle timeout restarts at the first keep-alive sent after the
	// last packet received, so the limit is keepAlivePeriod + idleTimeout and a
	// margin.
	PathTimeout = 3 * time.Second

	keepAlivePeriod = 800 * time.Millisecond
	idleTimeout     = 2 * time.Second

	// handshakeTimeout limits the time between packets during a handshake. The
	// whole handshake takes at most twice as long.
	handshakeTimeout = time.Second

	// dialTimeout limits the dial of one address, so that a call with a timeout
	// of 2 s tries a second address.
	dialTimeout = time.Second

	// maxStreams limits the calls and server streams in progress on one connection.
	maxStreams = 1024

	// maxConnectionWindow and maxStreamWindow are the flow control windows in
	// bytes. They limit the received data that a connection buffers.
	maxConnectionWindow = 4 * MaxFrameBytes
	maxStreamWindow     = MaxFrameBytes
)

// The application error codes of the QUIC connection and its streams.
const (
	codeClosed   = 0
	codeCanceled = 1
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}
