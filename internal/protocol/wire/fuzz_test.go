package wire_test

import (
	"bytes"
	"testing"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

// FuzzMessages guards against a message that crashes the decoder of its kind, and against
// one that is encoded differently from what was decoded.
func FuzzMessages(f *testing.F) {
	load := roster.Load{Flows: 300, Waiting: 7, Failing: true}
	record := roster.Record{Address: key.Client, Boot: 4, Service: "desk", Zone: "a", State: roster.Ready, Slots: 3}

	for _, message := range [][]byte{
		nil,
		wire.Accepted{Key: key, Load: load}.Append(nil),
		wire.Returned{Load: load, Packet: []byte("packet")}.Append(nil),
		wire.Declined{Returned: wire.Returned{Load: load, Packet: []byte("packet")}}.Append(nil),
		wire.Found{Key: key}.Append(nil),
		wire.Pointer{Key: key, Holder: key.Service}.Append(nil),
		wire.Locate{ID: 9, Keys: []flow.Key{key, key}}.Append(nil),
		wire.Located{ID: 9, Answers: []flow.Answer{flow.Held, flow.Absent}}.Append(nil),
	} {
		f.Add(message)
	}

	for _, seed := range []struct {
		kind wire.Kind
		body any
	}{
		{wire.KindPoll, wire.Poll{Boot: 1, Sequence: 2, Agent: &record, WantsAgents: true}},
		{wire.KindPollReply, wire.PollReply{
			Version: 3, Controllers: []flow.Endpoint{key.Service}, Agents: []roster.Record{record},
		}},
		{wire.KindFetch, wire.Fetch{Above: 3}},
		{wire.KindJoin, wire.Join{Replica: 3}},
		{wire.KindLeave, wire.Leave{Replica: 3}},
		{wire.KindJoinReply, wire.JoinReply{Cluster: 1, Controllers: []flow.Endpoint{key.Service}}},
		{wire.KindRestore, wire.Restore{Agent: key.Client}},
	} {
		message, err := wire.Encode(seed.kind, seed.body)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(message)
	}

	f.Fuzz(checkMessage)
}

// checkMessage decodes a message of any kind.
func checkMessage(t *testing.T, message []byte) {
	t.Helper()

	kind, body, ok := wire.Split(message)
	if !ok {
		return
	}

	switch kind {
	case wire.KindAccepted:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParseAccepted(body); return m.Append(nil), err })
	case wire.KindFound:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParseFound(body); return m.Append(nil), err })
	case wire.KindPointer:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParsePointer(body); return m.Append(nil), err })
	case wire.KindReturned:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParseReturned(body); return m.Append(nil), err })
	case wire.KindLocate:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParseLocate(body); return m.Append(nil), err })
	case wire.KindLocated:
		assertPrefix(t, message, func() ([]byte, error) { m, err := wire.ParseLocated(body); return m.Append(nil), err })
	case wire.KindPoll:
		if poll, err := wire.Decode[wire.Poll](body); err == nil && poll.Agent != nil {
			_ = poll.Agent.State.String()
		}
	case wire.KindPollReply:
		decode[wire.PollReply](body)
	case wire.KindFetch:
		decode[wire.Fetch](body)
	case wire.KindJoin:
		decode[wire.Join](body)
	case wire.KindLeave:
		decode[wire.Leave](body)
	case wire.KindJoinReply:
		decode[wire.JoinReply](body)
	case wire.KindRestore:
		decode[wire.Restore](body)
	default:
		// Other kinds have no body, or one that another package decodes.
	}
}

// decode only has to return.
func decode[T any](body []byte) { _, _ = wire.Decode[T](body) }

// assertPrefix checks that a message that can be parsed begins as it is encoded again;
// the load has bits that are not used.
func assertPrefix(t *testing.T, message []byte, parse func() ([]byte, error)) {
	t.Helper()

	encoded, err := parse()
	if err != nil {
		return
	}

	length := min(len(encoded), 1+flow.KeyBytes)
	if kindHasKey(message[0]) && !bytes.Equal(encoded[:length], message[:length]) {
		t.Errorf("decoded %x, encoded %x", message, encoded)
	}

	if len(encoded) > len(message) {
		t.Errorf("decoded %d bytes, encoded %d", len(message), len(encoded))
	}
}

func kindHasKey(kind byte) bool {
	switch wire.Kind(kind) {
	case wire.KindAccepted, wire.KindFound, wire.KindPointer:
		return true
	default:
		return false
	}
}
