package document

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
)

// Decision is the decision of an owner on a pending change.
type Decision string

// The decisions of an owner.
const (
	Accept Decision = "accept"
	Reject Decision = "reject"
)

// SignedText returns the text that an owner signs: a fixed first line,
// environment, version, digest in hexadecimal and decision, one per line. It
// contains all of them, so that a signature is not valid for any other change.
func SignedText(environment string, version uint64, digest [sha256.Size]byte, decision Decision) []byte {
	return fmt.Appendf(nil, "jayspindle change\n%s\n%d\n%x\n%s\n", environment, version, digest, decision)
}

// Sign returns the Ed25519 signature of the signed text.
func Sign(
	private ed25519.PrivateKey, environment string, version uint64, digest [sha256.Size]byte, decision Decision,
) []byte {
	return ed25519.Sign(private, SignedText(environment, version, digest, decision))
}

// Verify reports whether the signature is valid for the public key and the
// signed text. It refuses keys and signatures of a wrong length.
func Verify(
	public ed25519.PublicKey, environment string, version uint64, digest [sha256.Size]byte, decision Decision,
	signature []byte,
) bool {
	if len(public) != ed25519.PublicKeySize || len(signature) != ed25519.SignatureSize {
		return false
	}

	return ed25519.Verify(public, SignedText(environment, version, digest, decision), signature)
}

const keyPrefix = "ed25519:"

// FormatKey returns the text form of a public key: "ed25519:" and the standard
// base64 of its 32 bytes.
func FormatKey(public ed25519.PublicKey) string {
	return keyPrefix + base64.StdEncoding.EncodeToString(public)
}

// ParseKey parses the text form of a public key. The error is a *Error.
func ParseKey(text string) (ed25519.PublicKey, error) {
	encoded, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return nil, newError("parse key", KindKey, fmt.Errorf("text does not start with %q", keyPrefix))
	}

	decoded, err := base64.StdEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return nil, newError("parse key", KindKey, err)
	}

	// DecodeString ignores line breaks, so a key would have several text forms.
	if len(decoded) != ed25519.PublicKeySize || base64.StdEncoding.EncodeToString(decoded) != encoded {
		return nil, newError("parse key", KindKey,
			fmt.Errorf("found %d bytes, allowed: %d without line breaks", len(decoded), ed25519.PublicKeySize))
	}

	return decoded, nil
}
