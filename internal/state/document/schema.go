package document

import (
	"crypto/ed25519"
	"errors"
	"net/netip"
	"path"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
)

// The raw types mirror the keys of a document. A key without "omitempty" is
// required. The tag "allowed" describes the allowed values in faults.
type rawDocument struct {
	Schema   uint64       `yaml:"schema"   validate:"eq=1"           allowed:"1"`
	Services []rawService `yaml:"services" validate:"min=1,dive" allowed:"1 to 10000 services"`
}

type rawService struct {
	Name string `yaml:"name" validate:"name" allowed:"1 to 63 characters of a-z, 0-9 and -, not - first"`

	Address     addressValue `yaml:"address"           allowed:"a unicast IP address and port, as in 127.0.0.1:7001"`
	Key         keyValue     `yaml:"key"               allowed:"ed25519: and the base64 of 32 bytes"`
	Slots       uint64       `yaml:"slots"             allowed:"1 to 1000"           validate:"min=1,max=1000"`
	Connections uint64       `yaml:"connections"       allowed:"1 to 1000000"        validate:"min=1,max=1000000"`
	Buckets     uint64       `yaml:"buckets,omitempty" allowed:"a power of two, 64 to 16384" validate:"buckets"`
	Limits      rawLimits    `yaml:"limits,omitempty"  allowed:"a mapping of limits"`
	Classes     []rawClass   `yaml:"classes"           allowed:"1 to 64 classes"     validate:"min=1,dive"`
}

type rawLimits struct {
	Service   rateValue `yaml:"first_packets,omitempty" validate:"max=100000000" allowed:"1/s to 100000000/s"`
	PerSource rateValue `yaml:"first_packets_per_source,omitempty" validate:"max=100000000" allowed:"1/s to 100000000/s"`
}

type rawClass struct {
	Name   string `yaml:"name"   validate:"name" allowed:"1 to 63 characters of a-z, 0-9 and -, not - first"`
	Method string `yaml:"method" validate:"method" allowed:"GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS"`
	Path   string `yaml:"path"   validate:"prefix" allowed:"a clean absolute path without query, at most 256 bytes"`

	Urgency    uint64        `yaml:"urgency"              allowed:"0 to 9"                      validate:"max=9"`
	Idempotent bool          `yaml:"idempotent,omitempty" allowed:"true or false"`
	Deadline   durationValue `yaml:"deadline"             allowed:"a duration with a unit, 1ms to 10m"`
	MinShare   percentValue  `yaml:"min_share,omitempty"  allowed:"a whole percentage, 0% to 100%" validate:"max=100"`
	Feed       bool          `yaml:"feed,omitempty"       allowed:"true or false"`
}

// scalar is a value that is parsed from the text of a YAML scalar.
type scalar interface {
	parse(text string) error
}

var errInvalidScalar = errors.New("invalid scalar value")

type addressValue struct{ parsed netip.AddrPort }

func (a *addressValue) parse(text string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}

	addr := parsed.Addr()
	if parsed.Port() == 0 || addr.IsUnspecified() || addr.IsMulticast() || addr.Is4In6() || addr.Zone() != "" {
		return errInvalidScalar
	}

	a.parsed = parsed

	return nil
}

type keyValue struct{ parsed ed25519.PublicKey }

func (k *keyValue) parse(text string) (err error) {
	k.parsed, err = ParseKey(text)

	return err
}

type rateValue uint64

func (r *rateValue) parse(text string) error {
	number, ok := strings.CutSuffix(text, "/s")
	if !ok {
		return errInvalidScalar
	}

	parsed, err := parseDecimal(number)
	if err != nil || parsed == 0 {
		return errInvalidScalar
	}

	*r = rateValue(parsed)

	return nil
}

type percentValue uint64

func (p *percentValue) parse(text string) error {
	number, ok := strings.CutSuffix(text, "%")
	if !ok {
		return errInvalidScalar
	}

	parsed, err := parseDecimal(number)
	*p = percentValue(parsed)

	return err
}

type durationValue time.Duration

const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
)

func (d *durationValue) parse(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < minDeadline || parsed > maxDeadline {
		return errInvalidScalar
	}

	*d = durationValue(parsed)

	return nil
}

// parseDecimal parses a decimal number. It refuses signs, leading zeros, other bases
// and digit separators, because YAML versions disagree on them.
func parseDecimal(text string) (uint64, error) {
	if len(text) > 1 && text[0] == '0' {
		return 0, errInvalidScalar
	}

	return strconv.ParseUint(text, 10, 32)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

const maxPathBytes = 256

func validName(field validator.FieldLevel) bool {
	return namePattern.MatchString(field.Field().String())
}

func validPrefix(field validator.FieldLevel) bool {
	text := field.Field().String()
	if len(text) > maxPathBytes || !strings.HasPrefix(text, "/") || path.Clean(text) != text {
		return false
	}

	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`?#%\`, r) })
}

func validBuckets(field validator.FieldLevel) bool {
	buckets := field.Field().Uint()

	return buckets == 0 || buckets >= 64 && buckets <= 16384 && buckets&(buckets-1) == 0
}

// structValidator returns the validator of the raw types. It is built only once,
// because that is slow, and is safe for concurrent use.
var structValidator = sync.OnceValue(func() *validator.Validate {
	validate := validator.New()

	validate.RegisterAlias("method", "oneof=GET HEAD POST PUT PATCH DELETE OPTIONS")

	for name, check := range map[string]validator.Func{
		"name": validName, "prefix": validPrefix, "buckets": validBuckets,
	} {
		if err := validate.RegisterValidation(name, check); err != nil {
			panic(err) // registration fails only for an empty name
		}
	}

	validate.RegisterTagNameFunc(yamlName)

	return validate
})
