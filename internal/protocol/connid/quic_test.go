package connid_test

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/connid"
)

// observedConn passes each datagram that it receives to observe.
type observedConn struct {
	net.PacketConn
	observe func([]byte)
}

func (c observedConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, source, err := c.PacketConn.ReadFrom(buffer)
	if err == nil {
		c.observe(buffer[:n])
	}

	return n, source, err
}

func certificate(t *testing.T) tls.Certificate {
	t.Helper()

	public, private, err := ed25519.GenerateKey(rand.Reader)
	is.New(t).NoErr(err)

	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	is.New(t).NoErr(err)

	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
}

// Guards against packets of real sessions that no balancer could forward: each
// has to be one that may open a flow, or carry a connection ID of the agent.
func TestSession(t *testing.T) {
	var (
		opener                      = keys(t, 1)
		scratch                     connid.Scratch
		firstPackets, routedPackets int
		group                       conc.WaitGroup
	)

	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.New(t).NoErr(err)

	transport := &quic.Transport{
		ConnectionIDGenerator: connid.NewGenerator(opener, 40, 9000),
		Conn: observedConn{conn, func(datagram []byte) {
			packet := connid.Parse(datagram)
			incarnation, ok := opener.Open(&scratch, packet.DCID, 40)

			switch {
			case ok && incarnation == 9000:
				routedPackets++
			case packet.MayOpenFlow(len(datagram)):
				firstPackets++
			default:
				t.Errorf("packet of kind %d with connection ID %x cannot be forwarded", packet.Kind, packet.DCID)
			}
		}},
	}

	listener, err := transport.Listen(&tls.Config{
		Certificates: []tls.Certificate{certificate(t)}, NextProtos: []string{"test"},
	}, nil)
	is.New(t).NoErr(err)

	group.Go(func() {
		session, err := listener.Accept(context.Background())
		is.New(t).NoErr(err)

		stream, err := session.AcceptStream(context.Background())
		is.New(t).NoErr(err)

		_, err = io.Copy(stream, stream)
		is.New(t).NoErr(err)
		is.New(t).NoErr(stream.Close())
	})

	session, err := quic.DialAddr(context.Background(), conn.LocalAddr().String(),
		&tls.Config{InsecureSkipVerify: true, NextProtos: []string{"test"}}, nil)
	is.New(t).NoErr(err)

	stream, err := session.OpenStream()
	is.New(t).NoErr(err)

	_, err = stream.Write(make([]byte, 1<<18))
	is.New(t).NoErr(err)
	is.New(t).NoErr(stream.Close())

	echoed, err := io.ReadAll(stream)
	is.New(t).NoErr(err)
	is.New(t).Equal(len(echoed), 1<<18)

	group.Wait()
	is.New(t).NoErr(session.CloseWithError(0, ""))
	is.New(t).NoErr(transport.Close())
	is.New(t).NoErr(conn.Close())
	is.New(t).True(firstPackets > 0 && routedPackets > 100)
}
