package raft_test

import (
	"reflect"
	"testing"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/wal"
)

// Guards against malformed messages that crash the decoder or a replica, and against
// messages that change when they are decoded and encoded again.
func FuzzDecodeMessage(f *testing.F) {
	members := []raft.Member{{ID: 1, Address: "127.0.0.1:1"}}

	for _, message := range []raft.Message{
		{Kind: raft.MessageVote, Term: 3, LogIndex: 4, LogTerm: 2, Transfer: true},
		{Kind: raft.MessageAppend, Term: 3, LogIndex: 1, LogTerm: 1, Commit: 2, Entries: []raft.Entry{
			{Index: 2, Term: 3, Kind: wal.EntryCommand, Data: []byte("command")},
		}},
		{Kind: raft.MessageAppendReply, Term: 3, LogIndex: 9, Reject: true, Hint: 4, HintTerm: 2},
		{Kind: raft.MessageSnapshot, Term: 3, Chunk: &raft.Chunk{
			Index: 5, Term: 2, Members: members, Size: 8, Offset: 4, Data: []byte("part"),
		}},
	} {
		message.Cluster, message.Generation, message.From, message.To = cluster, generation, 2, 1

		encoded, err := raft.EncodeMessage(&message)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(encoded)
		f.Add(encoded[:len(encoded)/2])
	}

	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := raft.DecodeMessage(encoded)
		if err != nil {
			return
		}

		reencoded, err := raft.EncodeMessage(message)
		if err != nil {
			t.Fatal(err)
		}

		second, err := raft.DecodeMessage(reencoded)
		if err != nil || !reflect.DeepEqual(second, message) {
			t.Fatalf("message changes when it is encoded again: %v", err)
		}

		s := newTestReplica(t, raft.Stored{})
		_ = s.node.Receive(*message) // an error drops the message
		s.processReady()
	})
}
