// Package document parses the YAML document in which operators describe one
// environment: its services, their limits and their request classes.
//
// # Usage
//
//	parsed, err := document.Parse("network.yaml", data)
//	if err != nil {
//		// A *document.Error lists every fault with its line and key.
//	}
//	signature := document.Sign(private, "trial", version, parsed.Digest(), document.Accept)
//
// Parse is deterministic and never panics, because every replica of the
// catalog parses the bytes that operators submit. Durations, rates and
// percentages need a unit: "2s", "500/s", "10%".
package document

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"jayspindle/internal/state/view"
)

// Limits of a document. They bound the work that one submission causes on each
// controller.
const (
	MaxBytes    = 1 << 20
	MaxServices = 10_000
	MaxClasses  = 64 // of a service

	defaultBuckets = 1024
)

// Document is a valid document. It is immutable.
type Document struct {
	digest   [sha256.Size]byte
	services []view.Service
}

// Parse parses and validates a document. The name is used as the file name in
// faults. The error is a *Error that lists every fault. Parsing stops at a syntax
// error, because nothing after it can be interpreted reliably.
func Parse(name string, data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, newError("parse "+name, KindSize,
			fmt.Errorf("found %d bytes, allowed: at most %d", len(data), MaxBytes))
	}

	root, err := parseTree(name, data)
	if err != nil {
		return nil, err
	}

	var raw rawDocument

	binder := newBinder(name)
	binder.bindRoot(root, &raw)

	if binder.exceedsMaxNodes() {
		return nil, binder.invalidError()
	}

	binder.validate(&raw)
	binder.checkUnique(&raw)

	if len(binder.faults) > 0 {
		return nil, binder.invalidError()
	}

	return &Document{digest: Digest(data), services: raw.convert()}, nil
}

// Digest returns the SHA-256 of the bytes of a document.
func Digest(data []byte) [sha256.Size]byte { return sha256.Sum256(data) }

// Digest returns the SHA-256 of the bytes that were parsed.
func (d *Document) Digest() [sha256.Size]byte { return d.digest }

// Services returns the services in the order of the document, with ID 0. The
// caller owns the slice, but must not change the classes and keys in it.
func (d *Document) Services() []view.Service { return slices.Clone(d.services) }

func (r *rawDocument) convert() []view.Service {
	services := make([]view.Service, 0, len(r.Services))
	for i := range r.Services {
		services = append(services, r.Services[i].convert())
	}

	return services
}

func (r *rawService) convert() view.Service {
	buckets := r.Buckets
	if buckets == 0 {
		buckets = defaultBuckets
	}

	service := view.Service{
		Name:        r.Name,
		Address:     r.Address.parsed,
		Slots:       uint16(r.Slots),
		Connections: uint32(r.Connections),
		Buckets:     uint16(buckets),
		Classes:     make([]view.Class, 0, len(r.Classes)),
		Limits: view.Limits{
			FirstPackets:          uint32(r.Limits.Service),
			FirstPacketsPerSource: uint32(r.Limits.PerSource),
		},
		PublicKey: r.Key.parsed,
	}

	for _, class := range r.Classes {
		service.Classes = append(service.Classes, view.Class{
			Name:            class.Name,
			Method:          class.Method,
			PathPrefix:      class.Path,
			Urgency:         uint8(class.Urgency),
			Idempotent:      class.Idempotent,
			Deadline:        time.Duration(class.Deadline),
			MinSharePercent: uint8(class.MinShare),
			Feed:            class.Feed,
		})
	}

	return service
}
