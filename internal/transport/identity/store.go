package identity

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// MaxAuthorities is the number of authorities trusted at a time: the current
// one and, during a rotation, its successor. The successor is appended to the
// authority file or named in a second one.
const MaxAuthorities = 2

// Files names the files of an instance.
type Files struct {
	Certificate string   `yaml:"certificate" validate:"required"`
	Key         string   `yaml:"key" validate:"required"`
	Authorities []string `yaml:"authorities" validate:"min=1,max=2,dive,required"`
}

// Store holds the certificate, the key and the trusted authorities of an
// instance. It rereads changed files before each handshake. Established links
// keep the certificates of their handshake, so a rotation does not close them.
type Store struct {
	files  Files
	logger *slog.Logger

	mutex    sync.Mutex
	versions []fileVersion
	current  credentials
}

// credentials is the parsed content of the files.
type credentials struct {
	identity    Identity
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// fileVersion is compared to detect a changed file without reading it.
type fileVersion struct {
	modified time.Time
	size     int64
}

// OpenStore reads the files and returns a store of their content.
func OpenStore(files Files, logger *slog.Logger) (*Store, error) {
	store := &Store{files: files, logger: logger}

	versions, err := store.statFiles()
	if err != nil {
		return nil, err
	}

	current, err := loadCredentials(files)
	if err != nil {
		return nil, err
	}

	store.versions, store.current = versions, current

	return store, nil
}

// Identity returns the subject of the current certificate.
func (s *Store) Identity() Identity { return s.refresh().identity }

// refresh rereads the files if they have changed and returns the credentials in
// use. If the changed files are invalid, for example halfway through a rotation,
// the previous credentials stay in use.
func (s *Store) refresh() credentials {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	versions, err := s.statFiles()
	if err != nil {
		s.logger.Warn("cannot stat identity files, the previous certificate stays in use", "error", err)

		return s.current
	}

	if equalVersions(versions, s.versions) {
		return s.current
	}

	next, err := loadCredentials(s.files)
	if err != nil {
		s.logger.Warn("cannot load changed identity files, the previous certificate stays in use", "error", err)

		return s.current
	}

	s.versions, s.current = versions, next
	s.logger.Info("identity files were reread", "identity", next.identity.String())

	return s.current
}

func (s *Store) statFiles() ([]fileVersion, error) {
	paths := append([]string{s.files.Certificate, s.files.Key}, s.files.Authorities...)
	versions := make([]fileVersion, 0, len(paths))

	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, newError("open", KindFile, err)
		}

		versions = append(versions, fileVersion{modified: info.ModTime(), size: info.Size()})
	}

	return versions, nil
}

func equalVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}

	return true
}

func loadCredentials(files Files) (credentials, error) {
	leaf, err := loadCertificate(files.Certificate)
	if err != nil {
		return credentials{}, err
	}

	identity, err := identityFromCertificate(leaf)
	if err != nil {
		return credentials{}, err
	}

	key, err := LoadKey(files.Key)
	if err != nil {
		return credentials{}, err
	}

	if !key.PublicKey().Equal(leaf.PublicKey) {
		return credentials{}, newError("open", KindInvalid,
			errors.Errorf("private key %s does not match certificate %s", files.Key, files.Certificate))
	}

	pool, err := loadPool(files.Authorities)
	if err != nil {
		return credentials{}, err
	}

	return credentials{
		identity:    identity,
		certificate: &tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf},
		pool:        pool,
	}, nil
}

func loadPool(paths []string) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	count := 0

	for _, path := range paths {
		certificates, err := loadCertificates(path)
		if err != nil {
			return nil, err
		}

		for _, certificate := range certificates {
			pool.AddCert(certificate)

			count++
		}
	}

	if count < 1 || count > MaxAuthorities {
		return nil, newError("open", KindInvalid,
			errors.Errorf("%d authorities are configured, but 1 to %d are allowed", count, MaxAuthorities))
	}

	return pool, nil
}
