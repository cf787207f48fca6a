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

// views measures whole views. Instances hold decoded views, whose strings are
// not shared, so memory is measured on those.
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
		whole := view.New(contentsOf(size))

		encoded, err := whole.MarshalBinary()
		if err != nil {
			return nil, err
		}

		delta := marshal(reweighted(whole))
		memory := memoryOf(func() *view.View { return decoded(encoded) })

		return []float64{
			memory,
			float64(len(encoded)),
			float64(compressed(encoded)),
			seconds(func() { marshal(whole) }),
			seconds(func() { decoded(encoded).Digest() }),
			seconds(func() { applied(whole, delta).Digest() }),
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
		whole := fullView()
		delta := marshal(nextTo(whole, size))
		next := applied(whole, delta)
		services := deltaFrom(whole)
		services.Services = whole.Services()[:size]

		return []float64{
			float64(len(delta)),
			seconds(func() { marshal(next.Diff(whole)) }),
			seconds(func() { applied(whole, delta).Digest() }),
			float64(len(marshal(services))),
		}, nil
	},
}

func fullView() *view.View { return view.New(contentsOf(targetAgents)) }

// marshal encodes plain values and views, which cannot fail.
func marshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}

	return encoded
}

// decoded decodes a view that this package encoded.
func decoded(encoded []byte) *view.View {
	made, err := view.Decode(encoded)
	if err != nil {
		panic(err)
	}

	return made
}

// applied applies a delta that this package made for the view.
func applied(old *view.View, encoded []byte) *view.View {
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

func compressed(data []byte) int {
	var buffer bytes.Buffer

	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		panic(err) // a buffer takes everything
	}

	if err := writer.Close(); err != nil {
		panic(err)
	}

	return buffer.Len()
}
