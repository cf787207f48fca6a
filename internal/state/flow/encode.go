package flow

import "encoding/binary"

const (
	// EndpointBytes is the size of an encoded Endpoint.
	EndpointBytes = 6

	// KeyBytes is the size of an encoded Key.
	KeyBytes = 2 * EndpointBytes
)

// Append appends the encoded endpoint to the buffer: address, then port in
// little-endian order.
func (e Endpoint) Append(buffer []byte) []byte {
	return binary.LittleEndian.AppendUint16(append(buffer, e.IP[:]...), e.Port)
}

// ParseEndpoint decodes an endpoint. The slice must have at least EndpointBytes
// bytes.
func ParseEndpoint(encoded []byte) Endpoint {
	return Endpoint{IP: [4]byte(encoded[:4]), Port: binary.LittleEndian.Uint16(encoded[4:])}
}

// Append appends the encoded key to the buffer: client, then service.
func (k Key) Append(buffer []byte) []byte { return k.Service.Append(k.Client.Append(buffer)) }

// ParseKey decodes a key. The slice must have at least KeyBytes bytes.
func ParseKey(encoded []byte) Key {
	return Key{Client: ParseEndpoint(encoded), Service: ParseEndpoint(encoded[EndpointBytes:])}
}
