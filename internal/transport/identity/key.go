package identity

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"io"
	"log/slog"
	"strings"

	"github.com/juju/errors"
)

// publicKeyPrefix precedes the base64-encoded public key in documents.
const publicKeyPrefix = "ed25519:"

const redactedKey = "private key (hidden)"

// PrivateKey is an Ed25519 private key. It implements crypto.Signer. Formatting
// or logging it prints a placeholder instead of the key.
type PrivateKey struct {
	key ed25519.PrivateKey
}

// NewKey returns a random key.
func NewKey() (*PrivateKey, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, newError("create key", KindFile, err)
	}

	return &PrivateKey{key: key}, nil
}

// CreateKey creates a random key and writes it to a new file of mode 0600, as
// PKCS #8 (RFC 5958) in PEM.
func CreateKey(path string) (*PrivateKey, error) {
	key, err := NewKey()
	if err != nil {
		return nil, err
	}

	return key, key.write(path)
}

// LoadKey reads a key file and refuses one that group or others can access.
func LoadKey(path string) (*PrivateKey, error) {
	if err := checkFileMode(path); err != nil {
		return nil, err
	}

	encoded, err := readPEMBlock(path, pemTypePrivateKey)
	if err != nil {
		return nil, err
	}

	parsed, err := x509.ParsePKCS8PrivateKey(encoded)
	if err != nil {
		// The parser's error is omitted because it can quote the key.
		return nil, newError("read", KindInvalid, errors.Errorf("%s is not a PKCS #8 private key", path))
	}

	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, newError("read", KindInvalid, errors.Errorf("%s is not an Ed25519 key", path))
	}

	return &PrivateKey{key: key}, nil
}

func (k *PrivateKey) write(path string) error {
	encoded, err := x509.MarshalPKCS8PrivateKey(k.key)
	if err != nil {
		return newError("write", KindInvalid, errors.New("the key cannot be encoded"))
	}

	return createPEMFile(path, privateFileMode, &pem.Block{Type: pemTypePrivateKey, Bytes: encoded})
}

// Public returns the ed25519.PublicKey.
func (k *PrivateKey) Public() crypto.PublicKey { return k.key.Public() }

// PublicKey returns the public key.
func (k *PrivateKey) PublicKey() ed25519.PublicKey { return k.key.Public().(ed25519.PublicKey) }

// Sign implements crypto.Signer for unhashed messages.
func (k *PrivateKey) Sign(random io.Reader, message []byte, options crypto.SignerOpts) ([]byte, error) {
	return k.key.Sign(random, message, options)
}

// SignMessage returns the 64-byte signature of a message.
func (k *PrivateKey) SignMessage(message []byte) []byte { return ed25519.Sign(k.key, message) }

// String hides the key.
func (k *PrivateKey) String() string { return redactedKey }

// GoString hides the key from the %#v verb.
func (k *PrivateKey) GoString() string { return redactedKey }

// LogValue hides the key from logs.
func (k *PrivateKey) LogValue() slog.Value { return slog.StringValue(redactedKey) }

// FormatPublicKey returns the key in the form that documents use:
// "ed25519:BASE64".
func FormatPublicKey(key ed25519.PublicKey) string {
	return publicKeyPrefix + base64.StdEncoding.EncodeToString(key)
}

// ParsePublicKey parses the form that FormatPublicKey returns.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	encoded, ok := strings.CutPrefix(text, publicKeyPrefix)
	if !ok {
		return nil, newError("parse public key", KindInvalid,
			errors.Errorf("the text does not start with %q", publicKeyPrefix))
	}

	key, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, newError("parse public key", KindInvalid, err)
	}

	if len(key) != ed25519.PublicKeySize {
		return nil, newError("parse public key", KindInvalid,
			errors.Errorf("the key has %d bytes instead of %d", len(key), ed25519.PublicKeySize))
	}

	return key, nil
}

// WritePublicKey writes the public key to a new file that everyone can read.
func WritePublicKey(path string, key ed25519.PublicKey) error {
	encoded, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		return newError("write", KindInvalid, err)
	}

	return createPEMFile(path, publicFileMode, &pem.Block{Type: pemTypePublicKey, Bytes: encoded})
}
