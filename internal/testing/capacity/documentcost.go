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

// documents measures documents by their services. Classes are spelled out for
// the size, and shared by YAML anchors for the rest, because a document that
// spells them out exceeds the limit of 1 MiB long before the target size.
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
		text := documentOf(size, true, 0)
		journal := newJournal()
		version := 0

		parse := seconds(func() {
			if _, err := document.Parse("capacity.yaml", text); err != nil {
				panic(err) // the text is constant but for the number of services
			}
		})
		accept := seconds(func() {
			version++
			journal.accept(catalog.Trial, documentOf(size, true, version))
			journal.state.View(catalog.Trial)
		})

		return []float64{
			float64(len(documentOf(size, false, 0))), float64(len(text)), parse, accept,
			float64(journal.bytes) / float64(version),
		}, nil
	},
}

// versionsPart divides the services of the target size, because accepting
// documents of the whole size would take too long.
const versionsPart = 4

// versions measures what a controller keeps for each accepted version. The
// sizes leave out the first versions, which fill the cache of parsed documents.
var versions = probe{
	name: "document versions", per: "kept version", sizes: []int{3, 5, 7, 9},
	labels: []label{{VersionMemory, "live memory of the catalog, 1,675 services", unitBytes}},
	run: func(_ context.Context, size int) ([]float64, error) {
		return []float64{memoryOf(func() *catalog.Catalog {
			journal := newJournal()
			for version := range size {
				journal.accept(catalog.Trial, documentOf(targetServices/versionsPart, true, version+1))
			}

			return journal.state
		})}, nil
	},
}

const serviceClasses = `[
      {name: hazard-alert, method: POST, path: /alerts, urgency: 0, idempotent: true, deadline: 1s, min_share: 20%},
      {name: hazard-feed, method: GET, path: /alerts, urgency: 0, idempotent: true, deadline: 2s, feed: true},
      {name: pass-report, method: POST, path: /reports, urgency: 1, idempotent: false, deadline: 3s, min_share: 20%},
      {name: route-sheet, method: GET, path: /sheets, urgency: 5, idempotent: true, deadline: 10s, min_share: 20%}]`

// documentOf returns a document in which each version changes one service.
func documentOf(services int, shared bool, version int) []byte {
	var text strings.Builder

	key := document.FormatKey(keyOf(9).Public().(ed25519.PublicKey))
	text.WriteString("schema: 1\nservices:\n")

	for i := range services {
		written, slots := serviceClasses, 4
		if shared {
			written = "*c"
		}

		if shared && i == 0 {
			written = "&c " + serviceClasses
		}

		if i == version%services {
			slots = 5 + version%100
		}

		fmt.Fprintf(&text, "  - {name: service-%05d, address: 10.%d.%d.1:443, key: %q, slots: %d, connections: 2000, "+
			"classes: %s}\n", i, i/200, i%200, key, slots, written)
	}

	return []byte(text.String())
}

func keyOf(number byte) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = number

	return ed25519.NewKeyFromSeed(seed)
}

// journal applies commands to a catalog and counts their bytes.
type journal struct {
	state *catalog.Catalog
	index uint64
	bytes int
}

var owners = [2]string{"ann", "bob"}

func newJournal() *journal {
	founding := catalog.GroupConfig{}
	for i, name := range owners {
		founding.Owners[i] = catalog.Owner{Name: name, Key: keyOf(byte(i + 1)).Public().(ed25519.PublicKey)}
	}

	state, err := catalog.New(founding)
	if err != nil {
		panic(err) // the founding is constant
	}

	return &journal{state: state}
}

// apply applies a command that the catalog must accept.
func (j *journal) apply(command catalog.Command) {
	encoded, err := command.Encode(time.Unix(1_800_000_000, 0))
	if err != nil {
		panic(err)
	}

	j.index++
	j.bytes += len(encoded)

	result := j.state.Apply(j.index, encoded)
	if err := result.Err(); err != nil {
		panic(err)
	}
}

// accept submits a document and signs it twice.
func (j *journal) accept(environment string, text []byte) {
	base := j.state.Version(environment)
	digest := document.Digest(text)

	j.apply(catalog.Command{Submit: &catalog.Submit{
		Environment: environment, Base: base, ChangeID: fmt.Sprintf("%s-%d", environment, j.index), Author: owners[0],
		Document: text,
	}})

	for i, owner := range owners {
		j.apply(catalog.Command{Sign: &catalog.Sign{
			Environment: environment, Version: base + 1, Digest: digest, Owner: owner,
			Signature: document.Sign(keyOf(byte(i+1)), environment, base+1, digest, document.Accept),
		}})
	}
}
