// Package identity manages the keys and certificates with which the processes
// of a deployment and its operators authenticate each other.
//
// A deployment authority, created once by the operators, signs one
// certificate per instance. The certificate states the role, the environment,
// the name and, for an agent, the service, as the URI
// "jayspindle://ENVIRONMENT/ROLE/NAME[/SERVICE]". Keys are Ed25519 (RFC 8032),
// certificates X.509 (RFC 5280). A service key or a co-owner key is a plain
// Ed25519 key file without certificate.
//
// # Usage
//
//	authority, err := identity.CreateAuthority("authority.pem", "authority.key", "sweeping-works", time.Now())
//	err = authority.Issue(identity.Identity{
//		Role:        identity.RoleAgent,
//		Environment: "production",
//		Name:        "kokura-1",
//		Service:     "crew-link",
//	}, "agent.pem", "agent.key", time.Now())
//
//	store, err := identity.OpenStore(identity.Files{
//		Certificate: "agent.pem",
//		Key:         "agent.key",
//		Authorities: []string{"authority.pem"},
//	}, logger)
//	config := store.ClientTLS(identity.Policy{Roles: []identity.Role{identity.RoleController}})
//
// Files with private keys are written with mode 0600 and refused when group
// or others can read or write them. No error and no log value contains a secret.
package identity

import (
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Role is the function of a process or person in a deployment.
type Role string

// The roles.
const (
	RoleController Role = "controller"
	RoleBalancer   Role = "balancer"
	RoleAgent      Role = "agent"
	RoleOperator   Role = "operator"
)

// AllEnvironments is the environment in the certificates of controllers and
// operators, which serve every environment of the deployment.
const AllEnvironments = "all"

const uriScheme = "jayspindle"

// labelPattern restricts the parts of a URI to at most 63 characters that need
// no escaping.
var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Identity is the subject of a certificate.
type Identity struct {
	Role        Role
	Environment string
	Name        string
	Service     string // agents only
}

// Check returns an error of KindInvalid for the first field that is invalid.
func (i Identity) Check() error {
	if !slices.Contains([]Role{RoleController, RoleBalancer, RoleAgent, RoleOperator}, i.Role) {
		return newError("check identity", KindInvalid, errors.Errorf("role %q is unknown", i.Role))
	}

	if !labelPattern.MatchString(i.Environment) {
		return newError("check identity", KindInvalid, errors.Errorf("environment %q is not a valid label", i.Environment))
	}

	if !labelPattern.MatchString(i.Name) {
		return newError("check identity", KindInvalid, errors.Errorf("name %q is not a valid label", i.Name))
	}

	if (i.Role == RoleAgent) != (i.Service != "") {
		return newError("check identity", KindInvalid,
			errors.Errorf("service is %q: an agent has one, role %q has none", i.Service, i.Role))
	}

	if i.Service != "" && !labelPattern.MatchString(i.Service) {
		return newError("check identity", KindInvalid, errors.Errorf("service %q is not a valid label", i.Service))
	}

	return nil
}

// URI returns the identity as the URI subject alternative name of a certificate.
func (i Identity) URI() *url.URL {
	path := "/" + string(i.Role) + "/" + i.Name
	if i.Service != "" {
		path += "/" + i.Service
	}

	return &url.URL{Scheme: uriScheme, Host: i.Environment, Path: path}
}

// String returns the URI.
func (i Identity) String() string { return i.URI().String() }

// Parse returns the identity that a URI encodes.
func Parse(uri *url.URL) (Identity, error) {
	if uri.Scheme != uriScheme {
		return Identity{}, newError("parse identity", KindInvalid, errors.Errorf("scheme of %q is not %q", uri, uriScheme))
	}

	parts := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	if len(parts) < 2 || len(parts) > 3 {
		return Identity{}, newError("parse identity", KindInvalid, errors.Errorf("path of %q has %d parts", uri, len(parts)))
	}

	identity := Identity{Role: Role(parts[0]), Environment: uri.Host, Name: parts[1]}
	if len(parts) == 3 {
		identity.Service = parts[2]
	}

	return identity, identity.Check()
}

// Policy selects the peers that are accepted.
type Policy struct {
	// Roles lists the accepted roles; an empty list accepts every role.
	Roles []Role
	// Environment is the environment that the peer must serve. A peer whose
	// environment is AllEnvironments serves every environment. A policy with
	// AllEnvironments or the empty string accepts peers of every environment.
	Environment string
}

// Check returns an error of KindDenied if the policy does not accept the peer.
func (p Policy) Check(peer Identity) error {
	if len(p.Roles) > 0 && !slices.Contains(p.Roles, peer.Role) {
		return newError("check peer", KindDenied, errors.Errorf("role of %s is not one of %v", peer, p.Roles))
	}

	if p.Environment == "" || p.Environment == AllEnvironments || peer.Environment == AllEnvironments {
		return nil
	}

	if peer.Environment != p.Environment {
		return newError("check peer", KindDenied, errors.Errorf("environment of %s is not %q", peer, p.Environment))
	}

	return nil
}
