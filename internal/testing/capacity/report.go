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

// WriteTables writes the Markdown tables of docs/CAPACITY.md: the summary, the
// rows of each role and the measured figures.
func (r *Report) WriteTables(to io.Writer) error {
	var text strings.Builder

	fmt.Fprintf(&text, "Run of %.0f s, %d repetitions, %d cores, %s, peak resident memory %s.\n",
		r.Duration, r.Repetitions, r.Cores, r.Go, formatQuantity(r.PeakMemory, unitBytes))

	if r.Quick {
		text.WriteString("\nQuick run: small sizes, no basis for planning.\n")
	}

	text.WriteString("\n## Summary\n\n")
	writeTable(&text, []string{"role", "resource", "at target size", "limit", "verdict"}, r.summaryLines())

	for _, role := range []Role{RoleBalancer, RoleAgent, RoleController, RoleRelay, RoleOperator, RoleFleet} {
		fmt.Fprintf(&text, "\n## %s\n\n", strings.ToUpper(string(role[:1]))+string(role[1:]))
		writeTable(&text,
			[]string{"resource", "value (lowest to highest)", "limit", "verdict", "source", "formula", "mechanism"},
			r.roleLines(role))
	}

	text.WriteString("\n## Measured figures\n\n")
	writeTable(&text, []string{"figure", "slope (lowest to highest)", "intercept", "fit", "sizes"}, r.figureLines())

	if _, err := io.WriteString(to, text.String()); err != nil {
		return newError("write", KindReport, err)
	}

	return nil
}

func (r *Report) summaryLines() [][]string {
	var lines [][]string

	for _, row := range r.Rows {
		if row.Summary {
			lines = append(lines, []string{
				string(row.Role), row.Resource, formatQuantity(row.Value.Median, row.Unit), formatLimit(row), string(row.Verdict),
			})
		}
	}

	return lines
}

func (r *Report) roleLines(role Role) [][]string {
	var lines [][]string

	for _, row := range r.Rows {
		if row.Role == role {
			lines = append(lines, []string{
				row.Resource, formatSpread(row.Value, row.Unit), formatLimit(row), string(row.Verdict), string(row.Source),
				row.Formula, row.Mechanism,
			})
		}
	}

	return lines
}

func (r *Report) figureLines() [][]string {
	var lines [][]string

	for _, figure := range r.Figures {
		lines = append(lines, []string{
			figure.Name,
			formatSpread(figure.Slope, figure.Unit) + " per " + figure.Per,
			formatQuantity(figure.Intercept.Median, figure.Unit),
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

func formatLimit(row Row) string {
	if row.Limit == 0 {
		return "-"
	}

	return formatQuantity(row.Limit, row.Unit)
}

func formatSpread(value measure.Summary, unit string) string {
	return fmt.Sprintf("%s (%s to %s)",
		formatQuantity(value.Median, unit), formatQuantity(value.Lowest, unit), formatQuantity(value.Highest, unit))
}

// The units that are formatted specially. Other units are printed unchanged.
const (
	unitSeconds = "s"
	unitBytes   = "B"
	unitRate    = "B/s"
	unitCore    = "core" // seconds of processor time per second
)

// scale is a unit and its size in the base unit.
type scale struct {
	name string
	size float64
}

// scales lists the units that values are printed in, largest first.
var scales = map[string][]scale{
	unitSeconds: {{"s", 1}, {"ms", 1e-3}, {"µs", 1e-6}, {"ns", 1e-9}},
	unitBytes:   {{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}},
	unitRate:    {{"GB/s", 1e9}, {"MB/s", 1e6}, {"KB/s", 1e3}, {"B/s", 1}},
}

// formatQuantity formats a value with its unit and three significant digits.
func formatQuantity(value float64, unit string) string {
	if unit == unitCore {
		return formatDigits(value*100) + "% of a core"
	}

	list := scales[unit]
	for i, scale := range list {
		if math.Abs(value) >= scale.size || i == len(list)-1 {
			return formatDigits(value/scale.size) + " " + scale.name
		}
	}

	return strings.TrimSpace(formatDigits(value) + " " + unit)
}

// formatDigits formats a value with three significant digits and no exponent.
func formatDigits(value float64) string {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Sprintf("%g", value)
	}

	decimals := 2 - int(math.Floor(math.Log10(math.Abs(value))))

	return fmt.Sprintf("%.*f", max(0, decimals), value)
}
