package identity

import (
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
)

const (
	// AuthorityValidity is the lifetime of an authority's certificate.
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	// InstanceValidity is the lifetime of an instance's certificate.
	InstanceValidity = 365 * 24 * time.Hour

	// clockSkew backdates the start of validity, so that an instance whose
	// clock is behind accepts a new certificate.
	clockSkew = 5 * time.Minute

	serialBits = 127
)

// Authority is the certificate authority (CA) that signs the certificates of a
// deployment.
type Authority struct {
	certificate *x509.Certificate
	key         *PrivateKey
}

// CreateAuthority creates an authority and writes its certificate and its
// private key to new files.
func CreateAuthority(certificatePath, keyPath, name string, now time.Time) (*Authority, error) {
	key, err := CreateKey(keyPath)
	if err != nil {
		return nil, err
	}

	template, err := newTemplate(name, now, AuthorityValidity)
	if err != nil {
		return nil, err
	}

	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign

	encoded, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, newError("create authority", KindInvalid, err)
	}

	if err := createPEMFile(
		certificatePath, publicFileMode, &pem.Block{Type: pemTypeCertificate, Bytes: encoded},
	); err != nil {
		return nil, err
	}

	return LoadAuthority(certificatePath, keyPath)
}

// LoadAuthority reads the certificate and the private key of an authority.
func LoadAuthority(certificatePath, keyPath string) (*Authority, error) {
	certificate, err := loadCertificate(certificatePath)
	if err != nil {
		return nil, err
	}

	key, err := LoadKey(keyPath)
	if err != nil {
		return nil, err
	}

	if !key.PublicKey().Equal(certificate.PublicKey) {
		return nil, newError("load authority", KindInvalid,
			errors.Errorf("private key %s does not match certificate %s", keyPath, certificatePath))
	}

	return &Authority{certificate: certificate, key: key}, nil
}

// Issue creates a key and a certificate for an instance and writes both to
// new files.
func (a *Authority) Issue(subject Identity, certificatePath, keyPath string, now time.Time) error {
	if err := subject.Check(); err != nil {
		return err
	}

	template, err := newTemplate(subject.Name, now, InstanceValidity)
	if err != nil {
		return err
	}

	template.URIs = []*url.URL{subject.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}

	return a.sign("issue", template, certificatePath, keyPath)
}

// sign creates a key, signs a certificate for it from the template, and writes
// both to new files.
func (a *Authority) sign(operation string, template *x509.Certificate, certificatePath, keyPath string) error {
	key, err := CreateKey(keyPath)
	if err != nil {
		return err
	}

	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return newError(operation, KindInvalid, err)
	}

	return createPEMFile(certificatePath, publicFileMode, &pem.Block{Type: pemTypeCertificate, Bytes: encoded})
}

func newTemplate(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, newError("create certificate", KindFile, err)
	}

	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		BasicConstraintsValid: true,
	}, nil
}

func loadCertificate(path string) (*x509.Certificate, error) {
	certificates, err := loadCertificates(path)
	if err != nil {
		return nil, err
	}

	return certificates[0], nil
}

// loadCertificates reads all certificates of a PEM file, which must contain at
// least one.
func loadCertificates(path string) ([]*x509.Certificate, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, newError("read", KindFile, err)
	}

	var certificates []*x509.Certificate

	for block, rest := pem.Decode(content); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != pemTypeCertificate {
			return nil, newError("read", KindInvalid, errors.Errorf("%s contains a PEM block of type %q", path, block.Type))
		}

		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, newError("read", KindInvalid, errors.Annotate(err, path))
		}

		certificates = append(certificates, certificate)
	}

	if len(certificates) == 0 {
		return nil, newError("read", KindInvalid,
			errors.Errorf("%s contains no PEM block of type %q", path, pemTypeCertificate))
	}

	return certificates, nil
}
