package capacity

import (
	"fmt"
	"math"

	"jayspindle/internal/testing/measure"
)

// Role is who bears a cost.
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

// Source states how a value came about.
type Source string

// The sources, from the firmest to the weakest.
const (
	Measured  Source = "measured"   // at sizes up to the target size, read off the line
	WorkedOut Source = "worked out" // from measured slopes or figures at the target size, and stated numbers
	Assumed   Source = "assumed"    // it rests on an assumption, which the formula names
)

// Verdict compares a value with its limit.
type Verdict string

// The verdicts. Within the spread means that the limit lies between the lowest
// and the highest repetition.
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
	Mechanism string          `json:"mechanism,omitempty"` // that carries it, or would carry it
	Summary   bool            `json:"summary"`             // belongs into the summary table
}

// formula works a row out.
type formula struct {
	Row

	value func(r repetition) float64
}

// repetition reads the figures of one repetition.
type repetition struct {
	figures map[ID]*Figure
	number  int
}

// at returns the value of a figure's line at a size.
func (r repetition) at(id ID, size float64) float64 { return r.line(id).At(size) }

// slope returns the slope of a figure's line.
func (r repetition) slope(id ID) float64 { return r.line(id).Slope }

func (r repetition) line(id ID) Line {
	figure, ok := r.figures[id]
	if !ok {
		panic(fmt.Sprintf("capacity: no probe measures %q", id)) // a formula names a figure that does not exist
	}

	return figure.Lines[r.number]
}

// derive works out all rows.
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
			row.Verdict = judge(row.Value, row.Limit)
			r.Rows = append(r.Rows, row)
		}
	}
}

// judge compares a value with an upper limit. Without a limit there is no
// verdict.
func judge(value measure.Summary, limit float64) Verdict {
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
