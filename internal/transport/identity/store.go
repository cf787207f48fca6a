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
// keep the certificates they were set up with, so a rotation cuts none.
type Store struct {
	files  Files
	logger *slog.Logger

	mutex    sync.Mutex
	versions []version
	current  material
}

// material is the content of the files at one time.
type material struct {
	identity    Identity
	certificate *tls.Certificate
	pool        *x509.CertPool
}

// version tells two contents of a file apart without reading it.
type version struct {
	modified time.Time
	size     int64
}

// Open reads the files.
func Open(files Files, logger *slog.Logger) (*Store, error) {
	store := &Store{files: files, logger: logger}

	versions, err := store.stat()
	if err != nil {
		return nil, err
	}

	current, err := load(files)
	if err != nil {
		return nil, err
	}

	store.versions, store.current = versions, current

	return store, nil
}

// Identity returns what the current certificate states.
func (s *Store) Identity() Identity { return s.refresh().identity }

// refresh returns the content of the files. If changed files cannot be used,
// for example halfway through a rotation, the last good content stays in use.
func (s *Store) refresh() material {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	versions, err := s.stat()
	if err != nil {
		s.logger.Warn("identity files cannot be checked, the last certificate stays in use", "error", err)

		return s.current
	}

	if equal(versions, s.versions) {
		return s.current
	}

	next, err := load(s.files)
	if err != nil {
		s.logger.Warn("changed identity files cannot be used, the last certificate stays in use", "error", err)

		return s.current
	}

	s.versions, s.current = versions, next
	s.logger.Info("identity files were reread", "identity", next.identity.String())

	return s.current
}

func (s *Store) stat() ([]version, error) {
	paths := append([]string{s.files.Certificate, s.files.Key}, s.files.Authorities...)
	versions := make([]version, 0, len(paths))

	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, newError("open", KindFile, err)
		}

		versions = append(versions, version{modified: info.ModTime(), size: info.Size()})
	}

	return versions, nil
}

func equal(a, b []version) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}

	return true
}

func load(files Files) (material, error) {
	leaf, err := loadCertificate(files.Certificate)
	if err != nil {
		return material{}, err
	}

	identity, err := ofCertificate(leaf)
	if err != nil {
		return material{}, err
	}

	key, err := LoadKey(files.Key)
	if err != nil {
		return material{}, err
	}

	if !key.PublicKey().Equal(leaf.PublicKey) {
		return material{}, newError("open", KindInvalid,
			errors.Errorf("%s is not the key of %s", files.Key, files.Certificate))
	}

	pool, err := loadPool(files.Authorities)
	if err != nil {
		return material{}, err
	}

	return material{
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
			errors.Errorf("%d authorities, but 1 to %d are allowed", count, MaxAuthorities))
	}

	return pool, nil
}
