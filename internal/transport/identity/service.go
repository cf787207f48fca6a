package identity

import (
	"crypto/x509"
	"time"

	"github.com/juju/errors"
)

// IssueService creates a key and the server certificate that a service presents
// to its callers, with the service's name as the DNS name, and writes both to
// new files. If the callers trust another authority, the deployment uses
// certificates of that authority instead.
func (a *Authority) IssueService(service, certificatePath, keyPath string, now time.Time) error {
	if !labelPattern.MatchString(service) {
		return newError("issue service", KindInvalid, errors.Errorf("service %q is not a valid label", service))
	}

	template, err := newTemplate(service, now, InstanceValidity)
	if err != nil {
		return err
	}

	template.DNSNames = []string{service}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}

	return a.sign("issue service", template, certificatePath, keyPath)
}
