package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"

	"jayspindle/internal/testing/measure"
)

func newReport(options Options) *Report {
	report := &Report{
		Quick: options.Quick, Go: runtime.Version(), Cores: runtime.GOMAXPROCS(0), Repetitions: repetitions,
	}
	if options.Quick {
		report.Repetitions = quickRepetitions
	}

	return report
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(r); err != nil {
		return newError("write", KindReport, err)
	}

	return nil
}

// WriteTables writes the report as Markdown tables, as docs/CAPACITY.md has
// them: the summary, the rows of each role and the measured figures.
func (r *Report) WriteTables(to io.Writer) error {
	var text strings.Builder

	fmt.Fprintf(&text, "Run of %.0f s, %d repetitions, %d cores, %s, peak resident memory %s.\n",
		r.Duration, r.Repetitions, r.Cores, r.Go, quantity(r.PeakMemory, unitBytes))

	if r.Quick {
		text.WriteString("\nQuick run: small sizes, no basis for planning.\n")
	}

	text.WriteString("\n## Summary\n\n")
	writeTable(&text, []string{"role", "resource", "at target size", "limit", "verdict"}, r.summary())

	for _, role := range []Role{RoleBalancer, RoleAgent, RoleController, RoleRelay, RoleOperator, RoleFleet} {
		fmt.Fprintf(&text, "\n## %s\n\n", strings.ToUpper(string(role[:1]))+string(role[1:]))
		writeTable(&text,
			[]string{"resource", "value (lowest to highest)", "limit", "verdict", "source", "formula", "mechanism"},
			r.rowsOf(role))
	}

	text.WriteString("\n## Measured figures\n\n")
	writeTable(&text, []string{"figure", "slope (lowest to highest)", "intercept", "fit", "sizes"}, r.measured())

	if _, err := io.WriteString(to, text.String()); err != nil {
		return newError("write", KindReport, err)
	}

	return nil
}

func (r *Report) summary() [][]string {
	var lines [][]string

	for _, row := range r.Rows {
		if row.Summary {
			lines = append(lines, []string{
				string(row.Role), row.Resource, quantity(row.Value.Median, row.Unit), limitOf(row), string(row.Verdict),
			})
		}
	}

	return lines
}

func (r *Report) rowsOf(role Role) [][]string {
	var lines [][]string

	for _, row := range r.Rows {
		if row.Role == role {
			lines = append(lines, []string{
				row.Resource, spread(row.Value, row.Unit), limitOf(row), string(row.Verdict), string(row.Source), row.Formula,
				row.Mechanism,
			})
		}
	}

	return lines
}

func (r *Report) measured() [][]string {
	var lines [][]string

	for _, figure := range r.Figures {
		lines = append(lines, []string{
			figure.Name,
			spread(figure.Slope, figure.Unit) + " per " + figure.Per,
			quantity(figure.Intercept.Median, figure.Unit),
			fmt.Sprintf("%.3f", figure.Fit),
			strings.Trim(strings.ReplaceAll(fmt.Sprint(figure.Sizes), " ", ", "), "[]"),
		})
	}

	return lines
}

func writeTable(text *strings.Builder, header []string, lines [][]string) {
	fmt.Fprintf(text, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat(" --- |", len(header)))

	for _, line := range lines {
		fmt.Fprintf(text, "| %s |\n", strings.Join(line, " | "))
	}
}

func limitOf(row Row) string {
	if row.Limit == 0 {
		return "-"
	}

	return quantity(row.Limit, row.Unit)
}

func spread(value measure.Summary, unit string) string {
	return fmt.Sprintf("%s (%s to %s)",
		quantity(value.Median, unit), quantity(value.Lowest, unit), quantity(value.Highest, unit))
}

// The units of values. Others are printed as they are.
const (
	unitSeconds = "s"
	unitBytes   = "B"
	unitRate    = "B/s"
	unitCore    = "core" // seconds of processor time a second
)

// scale is a unit and its size in the base unit, largest first.
type scale struct {
	name string
	size float64
}

// scales lists the units that values are printed in.
var scales = map[string][]scale{
	unitSeconds: {{"s", 1}, {"ms", 1e-3}, {"µs", 1e-6}, {"ns", 1e-9}},
	unitBytes:   {{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}},
	unitRate:    {{"GB/s", 1e9}, {"MB/s", 1e6}, {"KB/s", 1e3}, {"B/s", 1}},
}

// quantity formats a value with three significant digits.
func quantity(value float64, unit string) string {
	if unit == unitCore {
		return digits(value*100) + "% of a core"
	}

	list := scales[unit]
	for i, scale := range list {
		if math.Abs(value) >= scale.size || i == len(list)-1 {
			return digits(value/scale.size) + " " + scale.name
		}
	}

	return strings.TrimSpace(digits(value) + " " + unit)
}

// digits prints three significant digits without an exponent.
func digits(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprintf("%g", value)
	}

	decimals := 2 - int(math.Floor(math.Log10(math.Abs(value))))

	return fmt.Sprintf("%.*f", max(0, decimals), value)
}
