package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// WriteTables writes a Markdown table for each measure, with a row for each
// place and a column for each policy. A cell has the median, and the lowest and
// the highest value if they differ.
func (r *Report) WriteTables(w io.Writer) error {
	var text strings.Builder

	fmt.Fprintf(&text, "Medians over %d seeds, with the lowest and the highest value in brackets.\n", r.Seeds)

	for i := range r.Measures {
		r.Measures[i].writeTable(&text)
	}

	if _, err := io.WriteString(w, text.String()); err != nil {
		return newError("write tables", KindOutput, err)
	}

	return nil
}

func (m *Measure) writeTable(text *strings.Builder) {
	policies := m.policies()

	fmt.Fprintf(text, "\n### %s\n\n%s\n\n| %s |", m.Title, m.verdict(), m.Unit)

	for _, policy := range policies {
		fmt.Fprintf(text, " %s |", policyLabel(policy))
	}

	fmt.Fprintf(text, "\n|%s\n", strings.Repeat(" --- |", len(policies)+1))

	for _, place := range m.places() {
		fmt.Fprintf(text, "| %s |", place)

		for _, policy := range policies {
			fmt.Fprintf(text, " %s |", m.cell(place, policy))
		}

		text.WriteString("\n")
	}
}

// policyLabel returns the name of a policy, marked if the system uses it.
func policyLabel(policy string) string {
	if policiesInUse[policy] {
		return policy + " (in use)"
	}

	return policy
}

// verdict returns a sentence with the target and whether it is met.
func (m *Measure) verdict() string {
	if m.Met == nil {
		return "No target."
	}

	verdict := "met"
	if !*m.Met {
		verdict = "**missed**"
	}

	return fmt.Sprintf("Target: %s. It is %s; the worst seed has %s.", m.targetText(), verdict, m.format(*m.Worst))
}

// targetText returns the target in words.
func (m *Measure) targetText() string {
	comparison := "at most"
	if m.Target.AtLeast {
		comparison = "at least"
	}

	return comparison + " " + strconv.FormatFloat(m.Target.Limit, 'f', -1, 64)
}

func (m *Measure) cell(place, policy string) string {
	figure, ok := m.figure(place, policy)

	switch {
	case !ok:
		return ""
	case figure.Lowest == figure.Highest:
		return m.format(figure.Median)
	}

	return fmt.Sprintf("%s (%s to %s)", m.format(figure.Median), m.format(figure.Lowest), m.format(figure.Highest))
}

func (m *Measure) format(value float64) string {
	return strconv.FormatFloat(value, 'f', m.decimals, 64)
}
