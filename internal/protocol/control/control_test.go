package control_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"jayspindle/internal/protocol/control"
)

var address = netip.MustParseAddrPort("127.0.0.1:7001")

// decoders holds a decode function for each message type.
var decoders = []func([]byte) (control.Message, error){
	decoder[control.Announce], decoder[control.AnnounceReply], decoder[control.Renew], decoder[control.RenewReply],
	decoder[control.Leave], decoder[control.LeaveReply], decoder[control.Watch], decoder[control.Update],
	decoder[control.Submit], decoder[control.Sign], decoder[control.Reject], decoder[control.Promote],
	decoder[control.ChangeReply], decoder[control.ReplaceOwner], decoder[control.ReadIndex],
	decoder[control.Status], decoder[control.StatusReply], decoder[control.History], decoder[control.HistoryReply],
	decoder[control.Explain], decoder[control.ExplainReply], decoder[control.Members], decoder[control.MembersReply],
	decoder[control.RotateKey], decoder[control.RotateKeyReply], decoder[control.Replicate],
	decoder[control.ReadIndexReply],
}

func decoder[T any, P interface {
	*T
	control.Message
}](encoded []byte) (control.Message, error) {
	message, err := control.Decode[T, P](encoded)

	return P(&message), err
}

func samples() []control.Message {
	change := control.Change{Version: 3, Digest: make([]byte, 32), State: control.StatePending, Time: time.Unix(9, 0)}

	return []control.Message{
		&control.Announce{
			Environment: "trial", Role: control.RoleAgent, Service: "crew-link", Zone: "kokura",
			Data: address, Peer: address, BootID: make([]byte, 16), Signature: make([]byte, 64),
		},
		&control.AnnounceReply{Incarnation: 7, Weight: 100, TTL: 3 * time.Second},
		&control.Renew{Environment: "trial", Renewals: []control.Renewal{{Incarnation: 7, Load: 50}}},
		&control.Leave{Environment: "trial", Incarnation: 7, Phase: control.PhaseDraining},
		&control.Watch{Environment: "trial", Digest: 9},
		&control.Update{Kind: control.UpdateFull, Chunks: 2, Chunk: 1, Bytes: []byte{1}},
		&control.Submit{Environment: "trial", ChangeID: "c", Author: "a", Document: []byte("schema: 1")},
		&control.ChangeReply{State: control.StatePending, Change: change},
		&control.ReplaceOwner{Owner: "a", NewName: "b", PublicKey: make([]byte, 32), ChangeID: "c", Author: "a"},
		&control.StatusReply{Environment: "trial", Pending: &change},
		&control.Members{Action: control.MembersAdd, Member: control.Member{Replica: 1, Address: address}},
		&control.Replicate{Replica: 1, Address: address, Messages: [][]byte{{1}}},
	}
}

// Guards against messages that change when they are encoded and decoded.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)

	for _, sample := range samples() {
		encoded, err := control.Encode(sample)
		is.NoErr(err)

		found := false

		for _, decode := range decoders {
			message, err := decode(encoded)
			if err == nil {
				reencoded, err := control.Encode(message)
				is.NoErr(err)

				found = found || string(reencoded) == string(encoded)
			}
		}

		is.True(found)
	}
}

// Guards against fields that could exhaust the memory of a controller, and
// against invalid fields that Check lets through to the handlers.
func TestBounds(t *testing.T) {
	announce := *samples()[0].(*control.Announce)
	unsigned, withoutService, withoutDataAddress := announce, announce, announce
	unsigned.Signature = nil
	withoutService.Service = ""
	withoutDataAddress.Data = netip.AddrPort{}

	cases := map[string]control.Message{
		"unsigned agent":        &unsigned,
		"agent without service": &withoutService,
		"no data address":       &withoutDataAddress,
		"long environment":      &control.Watch{Environment: string(make([]byte, control.MaxName+1))},
		"long document": &control.Submit{
			Environment: "e", ChangeID: "c", Author: "a", Document: make([]byte, control.MaxDocument+1),
		},
		"no change ID":         &control.Submit{Environment: "e", Author: "a", Document: []byte{1}},
		"renewals":             &control.Renew{Environment: "e", Renewals: make([]control.Renewal, control.MaxRenewals+1)},
		"chunk after the last": &control.Update{Kind: control.UpdateFull, Chunk: 2, Chunks: 2},
		"missing public key":   &control.ReplaceOwner{Owner: "a", NewName: "b", ChangeID: "c", Author: "a"},
		"phase":                &control.Leave{Environment: "e"},
	}

	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(message.Check() != nil)
		})
	}
}

// Guards against input of a faulty or malicious peer that crashes a decoder, and
// against decoded messages that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, sample := range samples() {
		encoded, err := cbor.Marshal(sample)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(encoded)
	}

	f.Fuzz(func(t *testing.T, encoded []byte) {
		for _, decode := range decoders {
			message, err := decode(encoded)
			if err != nil {
				continue
			}

			if _, err := control.Encode(message); err != nil {
				t.Fatalf("%T: %v", message, err)
			}
		}
	})
}
