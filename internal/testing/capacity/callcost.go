package capacity

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/link"
)

// The figures of single calls and of bulk transfers over a control link. Both
// ends run in this process.
const (
	CallTime     ID = "call time"
	TransferTime ID = "transfer time"
)

// calls measures sequential renewals over one link.
var calls = probe{
	name: "calls", per: "call", sizes: []int{500, 1000, 2000, 4000},
	labels: []label{{CallTime, "renewals over a link, both ends", unitSeconds}},
	run: func(ctx context.Context, size int) (values []float64, err error) {
		err = withCluster(ctx, false, func(c *cluster) error {
			client := link.Dial(link.ClientOptions{
				Addresses: []netip.AddrPort{c.upstream}, Identity: c.instance, Random: rand.New(rand.NewPCG(1, 1)),
			})
			defer client.Close()

			request := control.Renew{Environment: environment, Renewals: []control.Renewal{{Incarnation: 1}}}
			began := 0.0

			for i := range size + 1 {
				if i == 1 {
					began = processorTime() // the first call sets up the connection
				}

				var reply control.RenewReply
				if err := client.Call(c.ctx, control.MethodRenew, &request, &reply); err != nil {
					return err
				}
			}

			values = []float64{processorTime() - began}

			return nil
		})

		return values, err
	},
}

// transfers measures full views over a link, in chunks as a publisher sends
// them.
var transfers = probe{
	name: "transfers", per: "byte", sizes: []int{8 << 20, 16 << 20, 24 << 20, 32 << 20},
	labels: []label{{TransferTime, "bytes of views over a link, both ends", unitSeconds}},
	run: func(ctx context.Context, size int) (values []float64, err error) {
		err = withCluster(ctx, false, func(c *cluster) error {
			client := link.Dial(link.ClientOptions{
				Addresses: []netip.AddrPort{c.upstream}, Identity: c.instance, Random: rand.New(rand.NewPCG(1, 1)),
			})
			defer client.Close()

			if err := client.Call(c.ctx, control.MethodRenew, &control.Renew{Environment: environment}, nil); err != nil {
				return err
			}

			began := processorTime()

			stream, err := client.Stream(c.ctx, methodChunks, size)
			if err != nil {
				return err
			}
			defer stream.Close()

			for {
				var update control.Update
				if more, err := stream.Next(&update); err != nil || !more {
					values = []float64{processorTime() - began}

					return err
				}
			}
		})

		return values, err
	},
}

// methodChunks streams as many bytes as the request asks for.
const methodChunks = "chunks"

func sendChunks(_ context.Context, request *link.Request, send func(any) error) error {
	var size int
	if err := request.Decode(&size); err != nil {
		return err
	}

	chunk := make([]byte, control.MaxChunk)

	for sent := 0; sent < size; sent += len(chunk) {
		update := control.Update{Kind: control.UpdateFull, Chunks: 1, Bytes: chunk[:min(len(chunk), size-sent)]}
		if err := send(&update); err != nil {
			return err
		}
	}

	return nil
}
