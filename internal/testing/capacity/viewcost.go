package capacity

import (
	"bytes"
	"compress/gzip"
	"context"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/view"
)

// The figures of views and changes.
const (
	ViewMemory     ID = "view memory"
	ViewBytes      ID = "view bytes"
	ViewCompressed ID = "view compressed"
	ViewEncode     ID = "view encode"
	ViewDecode     ID = "view decode"
	ViewApply      ID = "view apply"

	DeltaBytes  ID = "delta bytes"
	DeltaEncode ID = "delta encode"
	DeltaApply  ID = "delta apply"

	ServiceBytes ID = "service bytes"
)

var agentSizes = []int{3250, 6500, 13_000, targetAgents}

// views measures full views. Memory is measured on decoded views, because
// instances hold these and their strings are not shared.
var views = probe{
	name: "views", per: "agent", sizes: agentSizes,
	labels: []label{
		{ViewMemory, "live memory of a decoded view", unitBytes},
		{ViewBytes, "encoded view", unitBytes},
		{ViewCompressed, "encoded view after gzip", unitBytes},
		{ViewEncode, "encoding a view", unitSeconds},
		{ViewDecode, "decoding and digest of a view", unitSeconds},
		{ViewApply, "delta of one agent: decode, apply, digest", unitSeconds},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		full := view.New(makeContents(size))

		encoded, err := full.MarshalBinary()
		if err != nil {
			return nil, err
		}

		delta := mustMarshal(reweightDelta(full))
		memory := retainedMemory(func() *view.View { return mustDecode(encoded) })

		return []float64{
			memory,
			float64(len(encoded)),
			float64(gzipSize(encoded)),
			secondsPerRun(func() { mustMarshal(full) }),
			secondsPerRun(func() { mustDecode(encoded).Digest() }),
			secondsPerRun(func() { mustApply(full, delta).Digest() }),
		}, nil
	},
}

// changes measures deltas that replace many agents of the full view at once.
var changes = probe{
	name: "changes", per: "replaced agent", sizes: []int{800, 1600, 3200, 6400},
	labels: []label{
		{DeltaBytes, "encoded delta", unitBytes},
		{DeltaEncode, "difference of two full views and its encoding", unitSeconds},
		{DeltaApply, "delta: decode, apply to the full view, digest", unitSeconds},
		{ServiceBytes, "encoded delta of as many changed services", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		full := fullView()
		delta := mustMarshal(replaceAgentsDelta(full, size))
		next := mustApply(full, delta)
		services := emptyDelta(full)
		services.Services = full.Services()[:size]

		return []float64{
			float64(len(delta)),
			secondsPerRun(func() { mustMarshal(next.Diff(full)) }),
			secondsPerRun(func() { mustApply(full, delta).Digest() }),
			float64(len(mustMarshal(services))),
		}, nil
	},
}

func fullView() *view.View { return view.New(makeContents(targetAgents)) }

// mustMarshal encodes views and deltas of this package, which cannot fail.
func mustMarshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}

	return encoded
}

// mustDecode decodes a view that this package encoded.
func mustDecode(encoded []byte) *view.View {
	result, err := view.Decode(encoded)
	if err != nil {
		panic(err)
	}

	return result
}

// mustApply applies an encoded delta that this package made for the view.
func mustApply(old *view.View, encoded []byte) *view.View {
	var delta view.Delta
	if err := cbor.Unmarshal(encoded, &delta); err != nil {
		panic(err)
	}

	next, err := old.Apply(delta)
	if err != nil {
		panic(err)
	}

	return next
}

func gzipSize(data []byte) int {
	var buffer bytes.Buffer

	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		panic(err) // writing to a buffer cannot fail
	}

	if err := writer.Close(); err != nil {
		panic(err)
	}

	return buffer.Len()
}
