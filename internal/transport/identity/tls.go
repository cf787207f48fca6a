package identity

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/juju/errors"
)

// Protocol is the ALPN name (RFC 7301) of the control links.
const Protocol = "jayspindle-link/1"

// ServerTLS returns a configuration that accepts the peers of the policy.
// Mutual authentication and TLS 1.3 (RFC 8446) are mandatory.
func (s *Store) ServerTLS(policy Policy) *tls.Config {
	config := s.base(policy)
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return s.refresh().certificate, nil
	}

	return config
}

// ClientTLS returns a configuration that accepts the peers of the policy.
func (s *Store) ClientTLS(policy Policy) *tls.Config {
	config := s.base(policy)
	// Peers are recognised by role and environment at an IP number, not by a
	// host name, so verify replaces the standard library's check.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.refresh().certificate, nil
	}

	return config
}

func (s *Store) base(policy Policy) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		// A resumed session would keep a peer whose authority is no longer trusted.
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, s.refresh().pool, policy)
		},
	}
}

func verify(state tls.ConnectionState, pool *x509.CertPool, policy Policy) error {
	if len(state.PeerCertificates) == 0 {
		return newError("verify peer", KindDenied, errors.New("the peer sent no certificate"))
	}

	leaf := state.PeerCertificates[0]

	// Both extended key usages are in every certificate, because an instance
	// listens and dials under one identity.
	if _, err := leaf.Verify(x509.VerifyOptions{
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}); err != nil {
		return newError("verify peer", KindDenied, err)
	}

	peer, err := ofCertificate(leaf)
	if err != nil {
		return err
	}

	return policy.Check(peer)
}

// Peer returns the identity of the other end of a verified connection.
func Peer(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, newError("read peer", KindDenied, errors.New("the peer sent no certificate"))
	}

	return ofCertificate(state.PeerCertificates[0])
}

func ofCertificate(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, newError("read certificate", KindInvalid,
			errors.Errorf("the certificate has %d URI names instead of 1", len(certificate.URIs)))
	}

	return Parse(certificate.URIs[0])
}
