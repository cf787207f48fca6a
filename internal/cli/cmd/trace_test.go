package cmd

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestLinkedTraces guards against printing a trace without the hops of the
// session on which the request arrived. They belong to another trace, written by
// other processes.
func TestLinkedTraces(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "spans")
	is.NoErr(os.WriteFile(name, []byte(
		`{"Name":"agent.request","SpanContext":{"TraceID":"r","SpanID":"1"},"Links":[{"SpanContext":{"TraceID":"s"}}]}
{"Name":"agent.attempt","SpanContext":{"TraceID":"r","SpanID":"2"},"Parent":{"SpanID":"1"}}
{"Name":"balancer.first_packet","SpanContext":{"TraceID":"s","SpanID":"3"}}
{"Name":"agent.session","SpanContext":{"TraceID":"s","SpanID":"4"}}
{"Name":"other","SpanContext":{"TraceID":"o","SpanID":"5"}}
`), 0o600))

	traces := make(map[string][]span)
	is.NoErr(readSpans(name, traces))

	var names []string
	for _, found := range linkedSpans(traces["r"], traces) {
		names = append(names, found.Name)
	}

	is.Equal(names, []string{"balancer.first_packet", "agent.session"})
	is.Equal(len(linkedSpans(traces["s"], traces)), 0)
}
