package report

import (
	"image/color"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	capWidth    = vg.Millimeter // of the ends of a spread
	spreadWidth = 0.7           // points
)

// spreads draws the lowest and highest values of the bars of one policy. The
// error bars of the plotter package cannot be moved to a bar within a group.
type spreads struct {
	offset vg.Length
	lines  []spreadLine
}

type spreadLine struct {
	x, lowest, highest float64
}

func (s *spreads) add(x float64, figure Figure, top float64) {
	if figure.Lowest < figure.Highest {
		s.lines = append(s.lines, spreadLine{x: x, lowest: figure.Lowest, highest: min(figure.Highest, top)})
	}
}

// Plot implements plot.Plotter.
func (s *spreads) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	style := draw.LineStyle{Color: color.Black, Width: vg.Points(spreadWidth)}

	for _, line := range s.lines {
		x := toX(line.x) + s.offset
		low, high := toY(max(line.lowest, p.Y.Min)), toY(line.highest)
		c.StrokeLine2(style, x, low, x, high)
		c.StrokeLine2(style, x-capWidth/2, low, x+capWidth/2, low)
		c.StrokeLine2(style, x-capWidth/2, high, x+capWidth/2, high)
	}
}

// values writes the medians above the bars of one policy, on white, so that
// they stay legible on the target line.
type values struct {
	offset vg.Length
	points plotter.XYs
	texts  []string
}

func (v *values) add(x, y float64, text string) {
	v.points = append(v.points, plotter.XY{X: x, Y: y})
	v.texts = append(v.texts, text)
}

// Plot implements plot.Plotter.
func (v *values) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	style := text.Style{
		Color: color.Black, Font: plot.DefaultFont, Handler: plot.DefaultTextHandler,
		Rotation: math.Pi / 2, YAlign: text.YCenter,
	}
	style.Font.Size = labelSize

	for i, point := range v.points {
		at := vg.Point{X: toX(point.X) + v.offset, Y: toY(point.Y) + vg.Millimeter}
		width, height := style.Width(v.texts[i]), style.Height(v.texts[i])

		c.FillPolygon(color.White, []vg.Point{
			{X: at.X - height/2, Y: at.Y},
			{X: at.X + height/2, Y: at.Y},
			{X: at.X + height/2, Y: at.Y + width},
			{X: at.X - height/2, Y: at.Y + width},
		})
		c.FillText(style, at, v.texts[i])
	}
}

// ticks returns marks at the ends of the axis and at quarters between them.
func ticks(base, top float64) plot.ConstantTicks {
	const steps = 4

	decimals := max(0, 2-int(math.Floor(math.Log10(top-base))))

	var marks plot.ConstantTicks

	for i := range steps + 1 {
		value := base + (top-base)*float64(i)/steps
		marks = append(marks, plot.Tick{Value: value, Label: trim(strconv.FormatFloat(value, 'f', decimals, 64))})
	}

	return marks
}

// trim removes zeros at the end of a decimal fraction.
func trim(number string) string {
	if !strings.Contains(number, ".") {
		return number
	}

	return strings.TrimRight(strings.TrimRight(number, "0"), ".")
}

// niceTop rounds the end of an axis up to 1, 2, 4 or 8 times a power of ten.
func niceTop(highest float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(highest)))

	for _, factor := range []float64{1, 2, 4, 8} {
		if highest <= factor*power {
			return factor * power
		}
	}

	return 10 * power
}
