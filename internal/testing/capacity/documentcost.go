package capacity

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"time"

	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/document"
)

// The figures of documents.
const (
	DocumentBytes   ID = "document bytes"
	DocumentCompact ID = "document compact"
	DocumentParse   ID = "document parse"
	DocumentAccept  ID = "document accept"
	DocumentEntries ID = "document entries"
	VersionMemory   ID = "version memory"
)

// documents measures documents by their number of services. Only DocumentBytes
// repeats the classes in each service. The other figures share them by YAML
// anchors, because a document that repeats them exceeds the limit of 1 MiB long
// before the target size.
var documents = probe{
	name: "documents", per: "service", sizes: []int{838, 1675, 3350, targetServices},
	labels: []label{
		{DocumentBytes, "document with 4 classes written out for each service", unitBytes},
		{DocumentCompact, "document with classes shared by YAML anchors", unitBytes},
		{DocumentParse, "parsing the compact document", unitSeconds},
		{DocumentAccept, "submit, two signatures, new view at a controller", unitSeconds},
		{DocumentEntries, "log entries of one change", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		text := makeDocument(size, true, 0)
		log := newCommandLog()
		version := 0

		parse := secondsPerRun(func() {
			if _, err := document.Parse("capacity.yaml", text); err != nil {
				panic(err) // the text is fixed but for the number of services
			}
		})
		accept := secondsPerRun(func() {
			version++
			log.acceptDocument(catalog.Trial, makeDocument(size, true, version))
			log.catalog.View(catalog.Trial)
		})

		return []float64{
			float64(len(makeDocument(size, false, 0))), float64(len(text)), parse, accept,
			float64(log.bytes) / float64(version),
		}, nil
	},
}

// versionServicesDivisor reduces the number of services, because accepting
// documents of the target size would take too long.
const versionServicesDivisor = 4

// versions measures the memory of a controller for each accepted version. The
// sizes start at 3, because the first versions fill the cache of parsed documents.
var versions = probe{
	name: "document versions", per: "kept version", sizes: []int{3, 5, 7, 9},
	labels: []label{{VersionMemory, "live memory of the catalog, 1,675 services", unitBytes}},
	run: func(_ context.Context, size int) ([]float64, error) {
		return []float64{retainedMemory(func() *catalog.Catalog {
			log := newCommandLog()
			for version := range size {
				log.acceptDocument(catalog.Trial, makeDocument(targetServices/versionServicesDivisor, true, version+1))
			}

			return log.catalog
		})}, nil
	},
}

const serviceClasses = `[
      {name: hazard-alert, method: POST, path: /alerts, urgency: 0, idempotent: true, deadline: 1s, min_share: 20%},
      {name: hazard-feed, method: GET, path: /alerts, urgency: 0, idempotent: true, deadline: 2s, feed: true},
      {name: pass-report, method: POST, path: /reports, urgency: 1, idempotent: false, deadline: 3s, min_share: 20%},
      {name: route-sheet, method: GET, path: /sheets, urgency: 5, idempotent: true, deadline: 10s, min_share: 20%}]`

// makeDocument returns a document. Each version changes one service.
func makeDocument(services int, shared bool, version int) []byte {
	var text strings.Builder

	key := document.FormatKey(signingKey(9).Public().(ed25519.PublicKey))
	text.WriteString("schema: 1\nservices:\n")

	for i := range services {
		classList, slots := serviceClasses, 4
		if shared {
			classList = "*c"
		}

		if shared && i == 0 {
			classList = "&c " + serviceClasses
		}

		if i == version%services {
			slots = 5 + version%100
		}

		fmt.Fprintf(&text, "  - {name: service-%05d, address: 10.%d.%d.1:443, key: %q, slots: %d, connections: 2000, "+
			"classes: %s}\n", i, i/200, i%200, key, slots, classList)
	}

	return []byte(text.String())
}

func signingKey(number byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = number

	return ed25519.NewKeyFromSeed(seed)
}

// commandLog applies commands to a catalog and counts their encoded bytes.
type commandLog struct {
	catalog *catalog.Catalog
	index   uint64
	bytes   int
}

var owners = [2]string{"ann", "bob"}

func newCommandLog() *commandLog {
	groupConfig := catalog.GroupConfig{}
	for i, name := range owners {
		groupConfig.Owners[i] = catalog.Owner{Name: name, Key: signingKey(byte(i + 1)).Public().(ed25519.PublicKey)}
	}

	state, err := catalog.New(groupConfig)
	if err != nil {
		panic(err) // the configuration is constant
	}

	return &commandLog{catalog: state}
}

// apply applies a command that the catalog must accept.
func (l *commandLog) apply(command catalog.Command) {
	encoded, err := command.Encode(time.Unix(1_800_000_000, 0))
	if err != nil {
		panic(err)
	}

	l.index++
	l.bytes += len(encoded)

	result := l.catalog.Apply(l.index, encoded)
	if err := result.Err(); err != nil {
		panic(err)
	}
}

// acceptDocument submits a document and signs it as both owners.
func (l *commandLog) acceptDocument(environment string, text []byte) {
	base := l.catalog.Version(environment)
	digest := document.Digest(text)

	l.apply(catalog.Command{Submit: &catalog.Submit{
		Environment: environment, Base: base, ChangeID: fmt.Sprintf("%s-%d", environment, l.index), Author: owners[0],
		Document: text,
	}})

	for i, owner := range owners {
		l.apply(catalog.Command{Sign: &catalog.Sign{
			Environment: environment, Version: base + 1, Digest: digest, Owner: owner,
			Signature: document.Sign(signingKey(byte(i+1)), environment, base+1, digest, document.Accept),
		}})
	}
}
