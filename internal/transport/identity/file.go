package identity

import (
	"encoding/pem"
	"os"

	"github.com/juju/errors"
)

const (
	privateMode = 0o600
	publicMode  = 0o644
	// othersMask are the permission bits of group and others.
	othersMask = 0o077

	blockPrivateKey  = "PRIVATE KEY"
	blockPublicKey   = "PUBLIC KEY"
	blockCertificate = "CERTIFICATE"
)

// writeNew writes a file that must not exist yet, so that no key is ever
// overwritten, and makes it durable before it returns.
func writeNew(path string, mode os.FileMode, block *pem.Block) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return newError("write", KindFile, err)
	}

	err = pem.Encode(file, block)
	if err == nil {
		err = file.Sync()
	}

	if closeErr := file.Close(); err == nil {
		err = closeErr
	}

	if err != nil {
		return newError("write", KindFile, err)
	}

	return nil
}

// readBlock returns the first PEM block of a file, which must have the given type.
func readBlock(path, blockType string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, newError("read", KindFile, err)
	}

	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockType {
		return nil, newError("read", KindInvalid, errors.Errorf("%s does not start with a PEM block %q", path, blockType))
	}

	return block.Bytes, nil
}

// checkPrivate refuses a file that others than its owner can access.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return newError("read", KindFile, err)
	}

	if mode := info.Mode().Perm(); mode&othersMask != 0 {
		return newError("read", KindPermissions,
			errors.Errorf("%s has mode %#o, but group and others must have no access: chmod 600 %s", path, mode, path))
	}

	return nil
}
