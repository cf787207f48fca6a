package identity

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// ALPNProtocol is the ALPN name (RFC 7301) of the control links.
const ALPNProtocol = "jayspindle-link/1"

// ServerTLS returns a server configuration that accepts the peers allowed by
// the policy. Mutual authentication and TLS 1.3 (RFC 8446) are mandatory.
func (s *Store) ServerTLS(policy Policy) *tls.Config {
	config := s.baseConfig(policy)
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.refresh().certificate, nil
	}

	return config
}

// ClientTLS returns a client configuration that accepts the peers allowed by
// the policy.
func (s *Store) ClientTLS(policy Policy) *tls.Config {
	config := s.baseConfig(policy)
	// Peers are dialed by IP address and authenticated by role and environment,
	// not by host name, so verifyPeer replaces the standard library's check.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.refresh().certificate, nil
	}

	return config
}

func (s *Store) baseConfig(policy Policy) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ALPNProtocol},
		// A resumed session could belong to a peer whose authority is no longer trusted.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, s.refresh().pool, policy)
		},
	}
}

func verifyPeer(state tls.ConnectionState, pool *x509.CertPool, policy Policy) error {
	if len(state.PeerCertificates) == 0 {
		return newError("verify peer", KindDenied, errors.New("the peer sent no certificate"))
	}

	leaf := state.PeerCertificates[0]

	// An instance listens and dials with the same certificate, which therefore
	// has the extended key usages of both client and server.
	if _, err := leaf.Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}); err != nil {
		return newError("verify peer", KindDenied, err)
	}

	peer, err := identityFromCertificate(leaf)
	if err != nil {
		return err
	}

	return policy.Check(peer)
}

// Peer returns the identity of the peer of a verified connection.
func Peer(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, newError("read peer", KindDenied, errors.New("the peer sent no certificate"))
	}

	return identityFromCertificate(state.PeerCertificates[0])
}

func identityFromCertificate(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, newError("read certificate", KindInvalid,
			errors.Errorf("the certificate has %d URI names instead of 1", len(certificate.URIs)))
	}

	return Parse(certificate.URIs[0])
}
