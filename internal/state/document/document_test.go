package document_test

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/document"
	"jayspindle/internal/state/view"
)

var key = document.FormatKey(make([]byte, 32))

var valid = `schema: 1
services:
  - name: crew-link
    address: 127.0.0.1:7001
    key: ` + key + `
    slots: 3
    connections: 2000
    limits: &limits
      first_packets: 20000/s
      first_packets_per_source: 500/s
    classes: &classes
      - {name: feed, method: GET, path: /alerts, urgency: 0, idempotent: true, deadline: 90s, feed: true}
      - name: alert
        method: POST
        path: /alerts
        urgency: 9
        deadline: 2s # until the response
        min_share: 10%
  - {name: desk, address: "[::1]:7002", key: "` + key + `", slots: 1, connections: 1, buckets: 64, classes: *classes}
`

func parse(t testing.TB, text string) *document.Document {
	t.Helper()

	parsed, err := document.Parse("a.yaml", []byte(text))
	is.New(t).NoErr(err)

	return parsed
}

// assertFaults asserts that the faults of a document are exactly these.
func assertFaults(t *testing.T, text string, want ...string) {
	t.Helper()

	is := is.New(t)
	_, err := document.Parse("a.yaml", []byte(text))

	var failure *document.Error
	is.True(errors.As(err, &failure)) // a *document.Error

	found := make([]string, 0, len(failure.Faults()))
	for _, fault := range failure.Faults() {
		found = append(found, fault.String())
	}

	is.Equal(strings.Join(found, "\n"), strings.Join(want, "\n"))
}

// Guards against values that differ between the document and the view.
func TestParse(t *testing.T) {
	is := is.New(t)
	services := parse(t, valid).Services()

	is.Equal(parse(t, valid).Digest(), document.Digest([]byte(valid)))
	is.Equal(len(services), 2)
	is.Equal(services[0], view.Service{
		Name: "crew-link", Address: netip.MustParseAddrPort("127.0.0.1:7001"), Slots: 3, Connections: 2000,
		Buckets: 1024, Limits: view.Limits{FirstPackets: 20000, FirstPacketsPerSource: 500},
		PublicKey: make([]byte, 32),
		Classes: []view.Class{
			{Name: "feed", Method: "GET", PathPrefix: "/alerts", Idempotent: true, Deadline: 90 * time.Second, Feed: true},
			{Name: "alert", Method: "POST", PathPrefix: "/alerts", Urgency: 9, Deadline: 2 * time.Second, MinSharePercent: 10},
		},
	})
	is.Equal(services[1].Buckets, uint16(64))
	is.Equal(services[1].Limits, view.Limits{})
	is.Equal(services[1].Classes, services[0].Classes) // through the alias
}

// Guards against violations that go undetected, and against faults without the
// correct line and key.
func TestFaults(t *testing.T) {
	for _, test := range []struct{ old, next, want string }{
		{"schema: 1", "schema: 2", "1:9: schema: found 2, allowed: 1"},
		{"crew-link", "Crew", `3:11: services[0].name: found "Crew", ` +
			`allowed: 1 to 63 characters of a-z, 0-9 and -, not - first`},
		{"desk", "crew-link", `19:12: services[1].name: found "crew-link", allowed: a name other than that of services[0]`},
		{"[::1]:7002", "127.0.0.1:7001", `19:27: services[1].address: found "127.0.0.1:7001", ` +
			`allowed: an address other than that of services[0]`},
		{":7001", "", `4:14: services[0].address: found "127.0.0.1", ` +
			"allowed: a unicast IP address and port, as in 127.0.0.1:7001"},
		{"slots: 3", "slots: 1001", "6:12: services[0].slots: found 1001, allowed: 1 to 1000"},
		{"slots: 3", `slots: "3"`, `6:12: services[0].slots: found "3", allowed: 1 to 1000`},
		{"slots: 3", "slots: 03", "6:12: services[0].slots: found 03, allowed: 1 to 1000"},
		{"slots: 3", "slots: 0x3", "6:12: services[0].slots: found 0x3, allowed: 1 to 1000"},
		{"slots: 3", "slots:", "6:11: services[0].slots: found null, allowed: 1 to 1000"},
		{"slots: 3", "slots: {a: 1}", "6:12: services[0].slots: found a mapping, allowed: 1 to 1000"},
		{"slots: 3", "slots: *later", `6:12: services[0].slots: found alias "later", ` +
			`allowed: an alias of an anchor further up`},
		{"buckets: 64", "buckets: 65", "19:137: services[1].buckets: found 65, allowed: a power of two, 64 to 16384"},
		{"20000/s", "20000", "9:22: services[0].limits.first_packets: found 20000, allowed: 1/s to 100000000/s"},
		{"500/s", "0/s", `10:33: services[0].limits.first_packets_per_source: found "0/s", allowed: 1/s to 100000000/s`},
		{"schema: 1", "schema: 1\nextra: 1", `2:1: extra: found unknown key "extra", allowed: one of schema, services`},
		{"schema: 1", "schema: 1\nschema: 1", "2:1: schema: found a second key, first on line 1, allowed: each key once"},
		{"schema: 1\n", "", "1:1: schema: found no value, allowed: 1"},
		{"schema: 1", "schema: [", `1:9: (syntax): found "[", allowed: valid YAML: sequence end token ']' not found`},
		{"schema: 1", strings.Repeat("[", 99), "1:33: (syntax): found deeper nesting, allowed: at most 32 levels"},
		{"schema: 1", strings.Repeat("- ", 99), "1:65: (syntax): found deeper nesting, allowed: at most 32 levels"},
		{"schema: 1", strings.Repeat("? ", 99), "1:65: (syntax): found deeper nesting, allowed: at most 32 levels"},
	} {
		t.Run(test.next, func(t *testing.T) {
			assertFaults(t, strings.Replace(valid, test.old, test.next, 1), "a.yaml:"+test.want)
		})
	}
}

// Guards against faults in a class shared through an alias that are reported for
// only one of its services, and against reports that stop at the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		"slots: 3", "sluts: 3", "2s", "2", "min_share: 10%", "min_share: 110%", "90s", "11m", "method: POST", "method: GET",
	).Replace(valid)

	faultAt := func(line string, service int, fault string) string {
		return fmt.Sprintf("a.yaml:%s: services[%d].%s", line, service, fault)
	}

	var want []string

	want = append(want,
		faultAt("3:5", 0, "slots: found no value, allowed: 1 to 1000"),
		faultAt("6:5", 0, `sluts: found unknown key "sluts", allowed: one of `+
			"name, address, key, slots, connections, buckets, limits, classes"))

	for _, fault := range []struct{ line, text string }{
		{"12:90", `classes[0].deadline: found "11m", allowed: a duration with a unit, 1ms to 10m`},
		{"15:15", `classes[1].path: found "GET /alerts", allowed: a method and path other than those of classes[0]`},
		{"17:19", "classes[1].deadline: found 2, allowed: a duration with a unit, 1ms to 10m"},
		{"18:20", `classes[1].min_share: found "110%", allowed: a whole percentage, 0% to 100%`},
	} {
		want = append(want, faultAt(fault.line, 0, fault.text), faultAt(fault.line, 1, fault.text))
	}

	assertFaults(t, text, want...)
}

// Guards against rules on several classes that are not applied.
func TestClassRules(t *testing.T) {
	documentWith := func(classes string) string {
		return "schema: 1\nservices:\n- {name: a, address: 127.0.0.1:1, key: '" + key +
			"', slots: 1, connections: 1, classes: [" + classes + "]}\n"
	}
	classTemplate := "{name: %s, method: %s, path: %s, urgency: 0, deadline: 1s, min_share: %s, feed: %s}"

	assertSingleFault := func(want string, classes ...string) {
		t.Helper()

		_, err := document.Parse("a.yaml", []byte(documentWith(strings.Join(classes, ", "))))
		is.New(t).True(err != nil && strings.Contains(err.Error(), want) && strings.Count(err.Error(), "\n") == 1)
	}

	assertSingleFault("a sum of min_share of 101%",
		fmt.Sprintf(classTemplate, "a", "GET", "/", "51%", "false"),
		fmt.Sprintf(classTemplate, "b", "PUT", "/", "50%", "false"))
	assertSingleFault("a name other than", fmt.Sprintf(classTemplate, "a", "GET", "/", "51%", "false"),
		fmt.Sprintf(classTemplate, "a", "PUT", "/", "0%", "false"))
	assertSingleFault("true with method GET and idempotent true",
		fmt.Sprintf(classTemplate, "a", "GET", "/", "51%", "true"))

	for _, path := range []string{"a", "/a/", "//", "/a/../b", "/%61", "/a?b", "/é"} {
		assertSingleFault("a clean absolute path", fmt.Sprintf(classTemplate, "a", "GET", `"`+path+`"`, "0%", "false"))
	}
}

// Guards against documents whose parsing costs far more than their size suggests.
func TestBounds(t *testing.T) {
	is := is.New(t)

	_, err := document.Parse("a.yaml", make([]byte, document.MaxBytes+1))
	is.Equal(kindOf(err), document.KindSize)

	_, err = document.Parse("a.yaml", []byte("schema: 1\n---\nschema: 1\n"))
	is.Equal(kindOf(err), document.KindSyntax)

	_, err = document.Parse("a.yaml", []byte("schema: \xff"))
	is.Equal(kindOf(err), document.KindSyntax)

	_, err = document.Parse("a.yaml", aliasBomb(60))
	is.True(strings.Contains(err.Error(), "more values through aliases"))

	var failure *document.Error
	is.True(errors.As(err, &failure))
	is.True(len(failure.Faults()) <= 10_000)

	_, err = document.Parse("a.yaml", aliasBomb(5000))
	is.True(strings.Contains(err.Error(), "found a list of 5000, allowed: 1 to 64 classes"))

	for _, fragment := range []string{"a: 1\n", "[\na: 1\n", "? a\n: b\n", "- a:\n  b:\n", "- {a}\n", "- {a: }\n", "-\n"} {
		_, err = document.Parse("a.yaml", []byte(strings.Repeat(fragment, 1000)))
		is.True(strings.Contains(err.Error(), "allowed: at most ")) // before the parser spends quadratic time on it
	}

	selfReference := "schema: 1\nservices: &a [*a]\n"
	_, err = document.Parse("a.yaml", []byte(selfReference))
	is.True(strings.Contains(err.Error(), "an alias of an anchor further up"))
}

// aliasBomb returns a document that expands through aliases to 9,000 services with
// the given number of classes.
func aliasBomb(classes int) []byte {
	class := "{name: a, method: GET, path: /, urgency: 0, deadline: 1s},"

	return []byte("schema: 1\nservices:\n- &a {classes: [" + strings.Repeat(class, classes) + "]}\n" +
		strings.Repeat("- *a\n", 9000))
}

func kindOf(err error) document.Kind {
	var failure *document.Error
	if !errors.As(err, &failure) {
		return ""
	}

	return failure.Kind()
}

// Guards against a controller that crashes on submitted bytes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]\n? [b\n"))
	f.Add([]byte("- - ? - !!str &x *x : |\n  >-\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := document.Parse("a.yaml", data)
		is.New(t).True((parsed == nil) == (err != nil)) // a document or an error

		if err == nil {
			reparsed, err := document.Parse("b.yaml", bytes.Clone(data))
			is.New(t).NoErr(err)
			is.New(t).Equal(len(document.Diff(parsed, reparsed)), 0)
		}
	})
}

// Guards against a signature that is valid for another change.
func TestSign(t *testing.T) {
	is := is.New(t)
	private := ed25519.NewKeyFromSeed(make([]byte, 32))
	public := private.Public().(ed25519.PublicKey)
	digest := document.Digest(nil)
	signature := document.Sign(private, "trial", 7, digest, document.Accept)

	is.True(document.Verify(public, "trial", 7, digest, document.Accept, signature))
	is.True(!document.Verify(public, "production", 7, digest, document.Accept, signature))
	is.True(!document.Verify(public, "trial", 8, digest, document.Accept, signature))
	is.True(!document.Verify(public, "trial", 7, [32]byte{}, document.Accept, signature))
	is.True(!document.Verify(public, "trial", 7, digest, document.Reject, signature))
	is.True(!document.Verify(public[1:], "trial", 7, digest, document.Accept, signature))
	is.True(!document.Verify(public, "trial", 7, digest, document.Accept, signature[1:]))

	parsed, err := document.ParseKey(document.FormatKey(public))
	is.NoErr(err)
	is.Equal(parsed, public)

	for _, text := range []string{"", "ed25519:", "ed25519:AAAA", document.FormatKey(public) + "\n", "rsa:" + key[8:]} {
		_, err := document.ParseKey(text)
		is.Equal(kindOf(err), document.KindKey)
	}
}

// Guards against changes that the diff doesn't show to the operator who signs them.
func TestDiff(t *testing.T) {
	is := is.New(t)
	next := strings.NewReplacer("slots: 3", "slots: 4", "500/s", "1/s", "name: desk", "name: table", "10%", "11%",
		"name: feed", "name: watch").Replace(valid)

	var lines []string
	for _, change := range document.Diff(parse(t, valid), parse(t, next)) {
		lines = append(lines, change.String())
	}

	is.Equal(strings.Join(lines, "\n"), strings.Join([]string{
		"service desk removed",
		"service crew-link: slots changed from 3 to 4",
		"service crew-link: first_packets_per_source changed from 500/s to 1/s",
		"service crew-link, class feed removed",
		"service crew-link, class watch added",
		"service crew-link, class alert: min_share changed from 10% to 11%",
		"service table added",
	}, "\n"))
	is.Equal(len(document.Diff(nil, parse(t, valid))), 2)
}

// Guards against a caller who obtains the urgency of another class with a path that
// only resembles one of its paths.
func TestMatch(t *testing.T) {
	is := is.New(t)
	matcher := document.NewMatcher([]view.Class{
		{Name: "all", Method: "GET", PathPrefix: "/"},
		{Name: "alerts", Method: "GET", PathPrefix: "/alerts"},
		{Name: "report", Method: "POST", PathPrefix: "/alerts"},
		{Name: "deep", Method: "GET", PathPrefix: "/alerts/a"},
	})

	for request, want := range map[string]string{
		"GET /": "all", "GET /alerts": "alerts", "GET /alerts/": "alerts", "GET /alertsx": "all", "GET /alerts/a": "deep",
		"GET /alerts/ab": "alerts", "GET /alerts/a/b": "deep", "POST /alerts/a": "report", "POST /": "", "PUT /alerts": "",
		"GET /alerts/../x": "", "GET //alerts": "", "GET /./alerts": "", "GET alerts": "", "GET ": "", "GET /x/..": "",
	} {
		method, path, _ := strings.Cut(request, " ")
		class, ok := matcher.Match(method, path)
		is.Equal(ok, want != "") // request

		if ok {
			is.Equal(class.Name, want)
		}
	}

	is.Equal(testing.AllocsPerRun(100, func() { matcher.Match("GET", "/alerts/a/b/c") }), 0.0)
}

func BenchmarkParse6700Services(b *testing.B) {
	short := strings.NewReplacer("limits: &limits", "limits: &l", "classes: &classes", "classes: &c").Replace(valid)
	head, _, _ := strings.Cut(short, "  - {name: desk")
	text := []byte(head)

	for i := range 6699 {
		text = fmt.Appendf(text, "  - {name: s%d, address: 10.1.%d.%d:70, key: %s, slots: 3, connections: 9, "+
			"limits: *l, classes: *c}\n", i, i/256, i%256, key)
	}

	b.SetBytes(int64(len(text)))

	for b.Loop() {
		parse(b, string(text))
	}
}

func BenchmarkMatch(b *testing.B) {
	matcher := document.NewMatcher(parse(b, valid).Services()[0].Classes)
	b.ReportAllocs()

	for b.Loop() {
		matcher.Match("POST", "/alerts/7")
	}
}
