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
	capWidth      = vg.Millimeter // of the end marks of an error bar
	errorBarWidth = 0.7           // points
)

// errorBars draws the range from the lowest to the highest value of each bar of
// a policy. The error bars of the plotter package cannot be shifted to a bar
// within a group.
type errorBars struct {
	offset vg.Length
	bars   []errorBar
}

type errorBar struct {
	x, lowest, highest float64
}

func (s *errorBars) add(x float64, figure Figure, top float64) {
	if figure.Lowest < figure.Highest {
		s.bars = append(s.bars, errorBar{x: x, lowest: figure.Lowest, highest: min(figure.Highest, top)})
	}
}

// Plot implements plot.Plotter.
func (s *errorBars) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	style := draw.LineStyle{Color: color.Black, Width: vg.Points(errorBarWidth)}

	for _, line := range s.bars {
		x := toX(line.x) + s.offset
		low, high := toY(max(line.lowest, p.Y.Min)), toY(line.highest)
		c.StrokeLine2(style, x, low, x, high)
		c.StrokeLine2(style, x-capWidth/2, low, x+capWidth/2, low)
		c.StrokeLine2(style, x-capWidth/2, high, x+capWidth/2, high)
	}
}

// valueLabels draws the medians above the bars of a policy. The white background
// keeps them legible across the target line.
type valueLabels struct {
	offset vg.Length
	points plotter.XYs
	texts  []string
}

func (v *valueLabels) add(x, y float64, text string) {
	v.points = append(v.points, plotter.XY{X: x, Y: y})
	v.texts = append(v.texts, text)
}

// Plot implements plot.Plotter.
func (v *valueLabels) Plot(c draw.Canvas, p *plot.Plot) {
	toX, toY := p.Transforms(&c)
	style := text.Style{
		Color: color.Black, Font: plot.DefaultFont, Handler: plot.DefaultTextHandler,
		Rotation: math.Pi / 2, YAlign: text.YCenter,
	}
	style.Font.Size = medianTextSize

	for i, point := range v.points {
		origin := vg.Point{X: toX(point.X) + v.offset, Y: toY(point.Y) + vg.Millimeter}
		width, height := style.Width(v.texts[i]), style.Height(v.texts[i])

		c.FillPolygon(color.White, []vg.Point{
			{X: origin.X - height/2, Y: origin.Y},
			{X: origin.X + height/2, Y: origin.Y},
			{X: origin.X + height/2, Y: origin.Y + width},
			{X: origin.X - height/2, Y: origin.Y + width},
		})
		c.FillText(style, origin, v.texts[i])
	}
}

// ticks returns tick marks at both ends of the axis and at each quarter of it.
func ticks(base, top float64) plot.ConstantTicks {
	const steps = 4

	decimals := max(0, 2-int(math.Floor(math.Log10(top-base))))

	var marks plot.ConstantTicks

	for i := range steps + 1 {
		value := base + (top-base)*float64(i)/steps
		marks = append(marks, plot.Tick{Value: value, Label: trimZeros(strconv.FormatFloat(value, 'f', decimals, 64))})
	}

	return marks
}

// trimZeros removes the trailing zeros of a decimal fraction.
func trimZeros(number string) string {
	if !strings.Contains(number, ".") {
		return number
	}

	return strings.TrimRight(strings.TrimRight(number, "0"), ".")
}

// roundAxisMax rounds a value up to 1, 2, 4 or 8 times a power of ten.
func roundAxisMax(highest float64) float64 {
	power := math.Pow(10, math.Floor(math.Log10(highest)))

	for _, factor := range []float64{1, 2, 4, 8} {
		if highest <= factor*power {
			return factor * power
		}
	}

	return 10 * power
}
