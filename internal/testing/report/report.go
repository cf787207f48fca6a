// Package report runs the measures of the design page for the policies in use
// and for their baselines, and writes them as tables, JSON and plots.
//
// # Usage
//
//	result, err := report.Run(ctx, report.Options{Seeds: 5, Workers: 2, Progress: os.Stderr})
//	err = result.WriteTables(os.Stdout)
//	err = result.WriteJSON(file)
//	err = result.WriteSVG(file)
//
// A figure is the median over the seeds, with the lowest and the highest value.
// A target is met only if the worst seed of every service meets it.
package report

import (
	"encoding/json"
	"io"
	"math"

	"jayspindle/internal/testing/measure"
)

// Report holds the measures of one run.
type Report struct {
	Seeds    int       `json:"seeds"` // the seeds are 1 to Seeds
	Measures []Measure `json:"measures"`
}

// Measure is one measure of the design page with its figures.
type Measure struct {
	Name    string   `json:"name"`
	Title   string   `json:"title"`
	Unit    string   `json:"unit"`
	Target  *Target  `json:"target,omitempty"`
	Met     *bool    `json:"met,omitempty"`   // whether the policies in use meet the target; nil without one
	Worst   *float64 `json:"worst,omitempty"` // value of the policies in use on the worst seed
	Figures []Figure `json:"figures"`

	decimals int
	axisMin  float64 // lowest value of the axis
	axisMax  float64 // highest value of the axis; 0 to fit the figures
}

// Target is the limit that a measure must keep.
type Target struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"` // otherwise at most
}

// Figure is the distribution of a measure over the seeds for one policy.
type Figure struct {
	Place   string    `json:"place"` // service, deployment or size
	Policy  string    `json:"policy"`
	InUse   bool      `json:"in_use"` // false for baselines
	Median  float64   `json:"median"`
	Lowest  float64   `json:"lowest"`
	Highest float64   `json:"highest"`
	Values  []float64 `json:"values"` // by seed
}

// observation is the value of a measure for one place, policy and seed.
type observation struct {
	measure string
	place   string
	policy  string
	value   float64
}

// meets reports whether a value is within the target.
func (t Target) meets(value float64) bool {
	if t.AtLeast {
		return value >= t.Limit
	}

	return value <= t.Limit
}

// worst returns the value of the worst seed of a figure.
func (t Target) worst(figure Figure) float64 {
	if t.AtLeast {
		return figure.Lowest
	}

	return figure.Highest
}

// worse returns the worse of two values.
func (t Target) worse(a, b float64) float64 {
	if t.AtLeast {
		return min(a, b)
	}

	return max(a, b)
}

// add appends the value of an observation to its figure.
func (m *Measure) add(o observation) {
	for i := range m.Figures {
		if m.Figures[i].Place == o.place && m.Figures[i].Policy == o.policy {
			m.Figures[i].Values = append(m.Figures[i].Values, o.value)

			return
		}
	}

	m.Figures = append(m.Figures, Figure{
		Place: o.place, Policy: o.policy, InUse: policiesInUse[o.policy], Values: []float64{o.value},
	})
}

// summarize computes the median and spread of each figure, and whether the
// target is met.
func (m *Measure) summarize() {
	worst := math.NaN()

	for i := range m.Figures {
		figure := &m.Figures[i]
		summary := measure.Summarize(figure.Values)
		figure.Median, figure.Lowest, figure.Highest = summary.Median, summary.Lowest, summary.Highest

		switch {
		case m.Target == nil || !figure.InUse:
		case math.IsNaN(worst):
			worst = m.Target.worst(*figure)
		default:
			worst = m.Target.worse(worst, m.Target.worst(*figure))
		}
	}

	if m.Target == nil || math.IsNaN(worst) {
		return
	}

	met := m.Target.meets(worst)
	m.Met, m.Worst = &met, &worst
}

// places returns the places of the figures in order of appearance.
func (m *Measure) places() []string {
	return distinct(m.Figures, func(f Figure) string { return f.Place })
}

// policies returns the policies of the figures in order of appearance.
func (m *Measure) policies() []string {
	return distinct(m.Figures, func(f Figure) string { return f.Policy })
}

// figure returns the figure of a place and policy.
func (m *Measure) figure(place, policy string) (Figure, bool) {
	for _, figure := range m.Figures {
		if figure.Place == place && figure.Policy == policy {
			return figure, true
		}
	}

	return Figure{}, false
}

func distinct(figures []Figure, key func(Figure) string) []string {
	var found []string

	seen := make(map[string]bool)

	for _, figure := range figures {
		if name := key(figure); !seen[name] {
			seen[name] = true
			found = append(found, name)
		}
	}

	return found
}

// Missed returns the measures that miss their target.
func (r *Report) Missed() []Measure {
	var missed []Measure

	for _, m := range r.Measures {
		if m.Met != nil && !*m.Met {
			missed = append(missed, m)
		}
	}

	return missed
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(r); err != nil {
		return newError("write JSON", KindOutput, err)
	}

	return nil
}
