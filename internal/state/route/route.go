// Package route defines the document of pass-through services, which maps addresses
// to the services that receive new flows. It contains no decisions about single flows.
//
// # Usage
//
//	document := &route.Document{Version: 7, Routes: routes, Services: services}
//	if err := document.Check(); err != nil {
//		// A *route.Error of KindInvalid lists all faults.
//	}
//	encoded, err := document.Encode()
//	table, err := route.New(document)
//	found, ok := table.Find(key.Service)
//	service := found.Pick(key.Hash())
//
// A document is written by an operator and accepted as a whole. The version
// orders documents; the highest one is in force.
package route

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/flow"
)

// MaxEncodedBytes limits the size of an encoded document before compression. A
// route takes about 100 bytes, so several times 6,700 routes fit.
const MaxEncodedBytes = 8 << 20

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindInvalid  Kind = "invalid"  // the document breaks a rule
	KindEncoding Kind = "encoding" // the bytes are not a document
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("route", operation, kind, err)
}

// Target is a service and its share of the new flows of a route.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Weight  uint32 `cbor:"2,keyasint"` // relative to the other targets of the route
}

// Route distributes the new flows of an address among services.
type Route struct {
	Name    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Targets []Target       `cbor:"3,keyasint"`

	Timeout       time.Duration `cbor:"4,keyasint"` // time within which clients expect an answer
	TargetLatency time.Duration `cbor:"5,keyasint"` // target latency; 0 if not set
	Priority      int           `cbor:"6,keyasint"` // 0 is the most urgent
	Idempotent    bool          `cbor:"7,keyasint"` // requests are idempotent
}

// Document is a complete set of routes.
type Document struct {
	Version  uint64        `cbor:"1,keyasint"`
	Routes   []Route       `cbor:"2,keyasint"`
	Services []string      `cbor:"3,keyasint"`
	Idle     time.Duration `cbor:"4,keyasint"` // time after which an idle flow may be forgotten; 0 if not set
}

// Check returns an error of KindInvalid that lists all faults, or nil.
func (d *Document) Check() error {
	services := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		services[service] = true
	}

	var faults []error

	nameByAddress := make(map[netip.AddrPort]string, len(d.Routes))

	for _, route := range d.Routes {
		if other, ok := nameByAddress[route.Address]; ok {
			faults = append(faults, fmt.Errorf("routes %q and %q have the same address %s", other, route.Name, route.Address))
		}

		nameByAddress[route.Address] = route.Name

		if err := route.check(services); err != nil {
			faults = append(faults, fmt.Errorf("route %q: %w", route.Name, err))
		}
	}

	if err := errors.Join(faults...); err != nil {
		return newError("check", KindInvalid, err)
	}

	return nil
}

func (r Route) check(services map[string]bool) error {
	if !r.Address.IsValid() || !r.Address.Addr().Unmap().Is4() {
		return fmt.Errorf("found address %q, allowed: an IPv4 address with a port", r.Address)
	}

	if r.Timeout <= 0 {
		return fmt.Errorf("found timeout %v, allowed: more than 0", r.Timeout)
	}

	var total uint64

	for _, target := range r.Targets {
		if !services[target.Service] {
			return fmt.Errorf("service %q does not exist", target.Service)
		}

		total += uint64(target.Weight)
	}

	if total == 0 {
		return errors.New("no service has a weight above 0")
	}

	return nil
}

// Encode returns the compressed bytes of the document.
func (d *Document) Encode() ([]byte, error) {
	plain, err := cbor.Marshal(d)
	if err != nil {
		return nil, newError("encode", KindEncoding, err)
	}

	return Compress(plain)
}

// Decode decodes a document from the result of Encode.
func Decode(encoded []byte) (*Document, error) {
	plain, err := Decompress(encoded)
	if err != nil {
		return nil, err
	}

	document := &Document{}
	if err := cbor.Unmarshal(plain, document); err != nil {
		return nil, newError("decode", KindEncoding, err)
	}

	return document, nil
}

// Compress compresses the bytes of a document of any format.
func Compress(plain []byte) ([]byte, error) {
	var compressed bytes.Buffer

	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, newError("compress", KindEncoding, err)
	}

	if _, err := writer.Write(plain); err != nil {
		return nil, newError("compress", KindEncoding, err)
	}

	if err := writer.Close(); err != nil {
		return nil, newError("compress", KindEncoding, err)
	}

	return compressed.Bytes(), nil
}

// Decompress decompresses the result of Compress. It refuses more than MaxEncodedBytes
// of output.
func Decompress(compressed []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxEncodedBytes+1))
	if err != nil {
		return nil, newError("expand", KindEncoding, err)
	}

	if len(plain) > MaxEncodedBytes {
		return nil, newError("expand", KindEncoding, fmt.Errorf("more than %d bytes", MaxEncodedBytes))
	}

	return plain, nil
}

// Table finds the route of an address. It is immutable.
type Table struct {
	document *Document
	routes   map[flow.Endpoint]*Route
}

// New returns the table of a document, or an error of KindInvalid.
func New(document *Document) (*Table, error) {
	if err := document.Check(); err != nil {
		return nil, err
	}

	table := &Table{document: document, routes: make(map[flow.Endpoint]*Route, len(document.Routes))}

	for i := range document.Routes {
		// Check has made sure that the address is IPv4.
		endpoint, _ := flow.NewEndpoint(document.Routes[i].Address)
		table.routes[endpoint] = &document.Routes[i]
	}

	return table, nil
}

// Version returns the version of the document, 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}

	return t.document.Version
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// Find returns the route of an address. A nil table has none.
func (t *Table) Find(address flow.Endpoint) (*Route, bool) {
	if t == nil {
		return nil, false
	}

	found, ok := t.routes[address]

	return found, ok
}

// Allows reports whether new flows of the route may go to a service.
func (r *Route) Allows(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}

	return false
}

// Pick returns the service of a new flow. Equal hashes get the same service as
// long as the weights don't change.
func (r *Route) Pick(hash uint64) string {
	var total uint64
	for _, target := range r.Targets {
		total += uint64(target.Weight)
	}

	// The low bits of the hash determine the order of the backend servers, so the
	// selection of the service uses a separate hash.
	position := flow.Mix(hash^serviceSalt) % total

	for _, target := range r.Targets {
		if position < uint64(target.Weight) {
			return target.Service
		}

		position -= uint64(target.Weight)
	}

	return r.Targets[len(r.Targets)-1].Service
}

// serviceSalt makes the selection of the service independent of that of the
// backend server.
const serviceSalt = 0x5eed_5e47_1ce0_0001
