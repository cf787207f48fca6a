package capacity

import (
	"fmt"
	"math"

	"jayspindle/internal/testing/measure"
)

// Role is the part of the system, or the person, that bears a cost.
type Role string

// The roles.
const (
	RoleBalancer   Role = "balancer"
	RoleAgent      Role = "agent"
	RoleController Role = "controller"
	RoleRelay      Role = "relay"
	RoleOperator   Role = "operator's command"
	RoleFleet      Role = "whole fleet"
)

// Source states how a value was obtained.
type Source string

// The sources, from the most to the least reliable.
const (
	Measured  Source = "measured"   // at sizes up to the target size, taken from the fitted line
	WorkedOut Source = "worked out" // calculated from measured figures and the numbers in the formula
	Assumed   Source = "assumed"    // depends on an assumption that the formula names
)

// Verdict compares a value with its limit.
type Verdict string

// The verdicts. WithinSpread means that the limit lies between the values of
// the lowest and the highest repetition.
const (
	Fits         Verdict = "fits"
	DoesNotFit   Verdict = "does not fit"
	WithinSpread Verdict = "within spread"
	NoLimit      Verdict = ""
)

// Row is the cost of one resource of a role at the target size.
type Row struct {
	Role      Role            `json:"role"`
	Resource  string          `json:"resource"`
	Unit      string          `json:"unit"`
	Value     measure.Summary `json:"value"`
	Limit     float64         `json:"limit,omitempty"` // 0 if there is none
	Verdict   Verdict         `json:"verdict,omitempty"`
	Source    Source          `json:"source"`
	Formula   string          `json:"formula"`
	Mechanism string          `json:"mechanism,omitempty"` // that meets the limit, or would meet it
	Summary   bool            `json:"summary"`             // listed in the summary table
}

// formula is a row and the function that calculates its value.
type formula struct {
	Row

	value func(r repetition) float64
}

// repetition gives access to the fitted lines of one repetition.
type repetition struct {
	figures map[ID]*Figure
	number  int
}

// valueAt returns the value of a figure's line at a size.
func (r repetition) valueAt(id ID, size float64) float64 { return r.lineOf(id).At(size) }

// slope returns the slope of a figure's line.
func (r repetition) slope(id ID) float64 { return r.lineOf(id).Slope }

func (r repetition) lineOf(id ID) Line {
	figure, ok := r.figures[id]
	if !ok {
		panic(fmt.Sprintf("capacity: no probe measures %q", id)) // a formula names a figure that does not exist
	}

	return figure.Lines[r.number]
}

// derive calculates all rows.
func (r *Report) derive() {
	figures := make(map[ID]*Figure, len(r.Figures))
	for _, figure := range r.Figures {
		figures[figure.ID] = figure
	}

	for _, list := range [][]formula{balancerRows, agentRows, controllerRows, relayRows, operatorRows, fleetRows} {
		for _, formula := range list {
			values := make([]float64, r.Repetitions)
			for i := range values {
				values[i] = formula.value(repetition{figures: figures, number: i})
			}

			row := formula.Row
			row.Value = measure.Summarize(values)
			row.Verdict = compareToLimit(row.Value, row.Limit)
			r.Rows = append(r.Rows, row)
		}
	}
}

// compareToLimit compares a value with an upper limit. A limit of 0 means that
// there is none.
func compareToLimit(value measure.Summary, limit float64) Verdict {
	switch {
	case limit == 0:
		return NoLimit
	case math.IsNaN(value.Median):
		return DoesNotFit
	case value.Highest <= limit:
		return Fits
	case value.Lowest > limit:
		return DoesNotFit
	default:
		return WithinSpread
	}
}
