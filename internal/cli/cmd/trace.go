package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"
)

// maxSpanLineBytes limits the length of a line in a trace file.
const maxSpanLineBytes = 1 << 20

type traceCommand struct {
	request string
	json    bool
}

func (*traceCommand) Name() string { return "trace" }

func (*traceCommand) Synopsis() string { return "print the hops of a request as a tree" }

func (*traceCommand) Usage() string {
	return `jayspindle trace [-request TEXT] FILE...
  Reads the trace files of the instances and prints each trace as a tree of
  spans. With -request only traces with an attribute or ID that contains it.
  Example: jayspindle trace -request 5f1c *.trace
`
}

func (c *traceCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.request, "request", "", "part of a trace ID or of an attribute's value")
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

// span holds the fields of an exported span that trace uses.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []attributeValue
	Links       []struct {
		SpanContext struct{ TraceID, SpanID string }
	}
	Resource []attributeValue
}

type attributeValue struct {
	Key   string
	Value struct{ Value any }
}

func (s span) attribute(key string) string {
	for _, attribute := range append(slices.Clone(s.Resource), s.Attributes...) {
		if attribute.Key == key {
			return fmt.Sprint(attribute.Value.Value)
		}
	}

	return ""
}

func (c *traceCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		return failUsage("trace: no trace file is named")
	}

	traces := make(map[string][]span)

	for _, name := range flags.Args() {
		if err := readSpans(name, traces); err != nil {
			return fail(err)
		}
	}

	shown := 0

	for _, id := range slices.Sorted(maps.Keys(traces)) {
		spans := traces[id]
		if !matches(spans, c.request) {
			continue
		}

		shown++

		spans = append(spans, linkedSpans(spans, traces)...)
		slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })

		if c.json {
			_ = printJSON(spans)
		} else {
			fmt.Printf("trace %s\n", id)
			printTree(spans, "", "  ")
		}
	}

	if shown == 0 {
		return fail(errors.Errorf("no trace matches %q", c.request))
	}

	return exitOK
}

func readSpans(name string, traces map[string][]span) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close() //nolint:errcheck // the file was only read

	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxSpanLineBytes)

	for number := 1; lines.Scan(); number++ {
		var next span
		if err := json.Unmarshal(lines.Bytes(), &next); err != nil {
			return errors.Annotatef(err, "%s:%d", name, number)
		}

		id := next.SpanContext.TraceID
		traces[id] = append(traces[id], next)
	}

	return errors.Annotate(lines.Err(), name)
}

// linkedSpans returns the spans of the traces that the given spans link to. A
// request's spans link to the trace of the session on which it arrived, whose hops
// precede the request's.
func linkedSpans(spans []span, traces map[string][]span) []span {
	var found []span

	seen := make(map[string]bool)

	for _, item := range spans {
		for _, link := range item.Links {
			if id := link.SpanContext.TraceID; !seen[id] {
				seen[id] = true
				found = append(found, traces[id]...)
			}
		}
	}

	return found
}

func matches(spans []span, text string) bool {
	if text == "" {
		return true
	}

	for _, item := range spans {
		if strings.Contains(item.SpanContext.TraceID, text) {
			return true
		}

		for _, attribute := range item.Attributes {
			if strings.Contains(fmt.Sprint(attribute.Value.Value), text) {
				return true
			}
		}
	}

	return false
}

// printTree prints the spans below a parent. Spans whose parent is in none of the
// files are printed at the top level.
func printTree(spans []span, parent, indent string) {
	known := make(map[string]bool, len(spans))
	for _, item := range spans {
		known[item.SpanContext.SpanID] = true
	}

	for _, item := range spans {
		top := parent == "" && !known[item.Parent.SpanID]
		if !top && item.Parent.SpanID != parent {
			continue
		}

		printSpan(item, indent)
		printTree(spans, item.SpanContext.SpanID, indent+"  ")
	}
}

func printSpan(item span, indent string) {
	attributes := make([]string, 0, len(item.Attributes))
	for _, attribute := range item.Attributes {
		attributes = append(attributes, fmt.Sprintf("%s=%v", attribute.Key, attribute.Value.Value))
	}

	fmt.Printf("%s%s  %s  at %s (%s)  %s\n", indent, item.Name, item.EndTime.Sub(item.StartTime),
		item.attribute("service.instance.id"), item.attribute("cloud.availability_zone"), strings.Join(attributes, " "))
}
