package identity

import (
	"encoding/pem"
	"os"

	"github.com/juju/errors"
)

const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
	// groupAndOthersMask covers the permission bits of group and others.
	groupAndOthersMask = 0o077

	pemTypePrivateKey  = "PRIVATE KEY"
	pemTypePublicKey   = "PUBLIC KEY"
	pemTypeCertificate = "CERTIFICATE"
)

// createPEMFile writes a PEM block to a new file and syncs the file. It fails if
// the file exists, so that no key is ever overwritten.
func createPEMFile(path string, mode os.FileMode, block *pem.Block) error {
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

// readPEMBlock returns the content of the first PEM block of a file, which must
// have the given type.
func readPEMBlock(path, blockType string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, newError("read", KindFile, err)
	}

	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockType {
		return nil, newError("read", KindInvalid,
			errors.Errorf("%s does not start with a PEM block of type %q", path, blockType))
	}

	return block.Bytes, nil
}

// checkFileMode returns an error of KindPermissions if group or others have any
// access to the file.
func checkFileMode(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return newError("read", KindFile, err)
	}

	if mode := info.Mode().Perm(); mode&groupAndOthersMask != 0 {
		return newError("read", KindPermissions,
			errors.Errorf("%s has mode %#o, but group and others must have no access: chmod 600 %s", path, mode, path))
	}

	return nil
}
