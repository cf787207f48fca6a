package report

import (
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	columns      = 2
	panelWidth   = 19 * vg.Centimeter
	panelHeight  = 8 * vg.Centimeter
	panelPadding = 4 * vg.Millimeter
	legendWidth  = 4.2 * vg.Centimeter
	textSize     = 9
	labelSize    = 7
	groupWidth   = 11 * vg.Centimeter // of all bars of a panel together

	// Room above the highest bar for the labels, relative to the axis.
	headroom = 0.3
)

// The colors: blue for the policy in use, others for baselines, distinct also
// for colour-blind readers (Okabe and Ito, 2008).
var (
	inUseColor     = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	targetColor    = color.RGBA{R: 180, A: 255}
	baselineColors = []color.Color{
		color.RGBA{R: 230, G: 159, A: 255},
		color.RGBA{R: 86, G: 180, B: 233, A: 255},
		color.RGBA{R: 204, G: 121, B: 167, A: 255},
		color.RGBA{R: 170, G: 170, B: 170, A: 255},
	}
)

// WriteSVG draws a panel for each measure: bars for each place and policy with
// their spread, and the target as a dashed line.
func (r *Report) WriteSVG(w io.Writer) error {
	width, height := r.size()
	canvas := vgsvg.New(width, height)

	return r.write(w, canvas, canvas)
}

// WritePNG draws the same as WriteSVG.
func (r *Report) WritePNG(w io.Writer) error {
	width, height := r.size()
	canvas := vgimg.New(width, height)

	return r.write(w, canvas, vgimg.PngCanvas{Canvas: canvas})
}

func (r *Report) size() (width, height vg.Length) {
	rows := (len(r.Measures) + columns - 1) / columns

	return columns * panelWidth, vg.Length(max(rows, 1)) * panelHeight
}

func (r *Report) write(w io.Writer, canvas vg.CanvasSizer, output io.WriterTo) error {
	whole := draw.New(canvas)
	whole.SetColor(color.White)
	whole.Fill(whole.Path())

	for i := range r.Measures {
		left := vg.Length(i%columns) * panelWidth
		top := whole.Max.Y - vg.Length(i/columns)*panelHeight
		panel := draw.Canvas{Canvas: whole.Canvas, Rectangle: vg.Rectangle{
			Min: vg.Point{X: left + panelPadding, Y: top - panelHeight + panelPadding},
			Max: vg.Point{X: left + panelWidth - panelPadding, Y: top - panelPadding},
		}}

		if err := r.Measures[i].draw(panel); err != nil {
			return newError("draw", KindOutput, err)
		}
	}

	if _, err := output.WriteTo(w); err != nil {
		return newError("write plot", KindOutput, err)
	}

	return nil
}

// draw draws the measure with its legend at the right.
func (m *Measure) draw(canvas draw.Canvas) error {
	p := plot.New()
	p.Title.Text = m.Title
	p.Title.TextStyle.Font.Size = textSize + 2
	p.Title.Padding = 2 * vg.Millimeter
	p.Y.Label.Text = m.Unit
	p.Y.Label.TextStyle.Font.Size = textSize
	p.Y.Tick.Label.Font.Size = textSize
	p.X.Tick.Label.Font.Size = textSize
	p.X.Tick.Length = 0

	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.TextStyle.Font.Size = textSize
	legend.ThumbnailWidth = 4 * vg.Millimeter
	legend.Padding = vg.Millimeter

	top := m.axisTop()
	places, policies := m.places(), m.policies()

	medians := make([]plot.Plotter, len(policies))

	for i, policy := range policies {
		bars, texts, err := m.bars(p, policy, i, len(policies), top)
		if err != nil {
			return err
		}

		medians[i] = texts

		legend.Add(label(policy), bars)
	}

	if m.Target != nil {
		line, err := targetLine(m.Target.Limit, len(places))
		if err != nil {
			return err
		}

		p.Add(line)
		legend.Add("target: "+m.bound(), line)
	}

	p.Add(medians...)
	p.NominalX(shorten(places)...)
	p.X.Min, p.X.Max = -0.5, float64(len(places))-0.5
	p.Y.Min, p.Y.Max = m.base, m.base+(top-m.base)*(1+headroom)
	p.Y.Tick.Marker = ticks(m.base, top)

	p.Draw(draw.Crop(canvas, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(canvas, canvas.Size().X-legendWidth+2*vg.Millimeter, 0, 0, -panelHeight/8))

	return nil
}

// axisTop returns the value at which bars are cut.
func (m *Measure) axisTop() float64 {
	if m.top > 0 {
		return m.top
	}

	top := 0.0
	if m.Target != nil {
		top = m.Target.Limit
	}

	for _, figure := range m.Figures {
		top = max(top, figure.Highest)
	}

	if top <= m.base {
		return m.base + 1
	}

	return niceTop(top)
}

// bars adds the bars of a policy with their spread and returns them with the
// texts above them, which are drawn last. The x values are the numbers of the
// places.
func (m *Measure) bars(
	p *plot.Plot, policy string, number, policies int, top float64,
) (*plotter.BarChart, *values, error) {
	places := m.places()
	width := groupWidth / vg.Length(len(places)*(policies+1))
	offset := width * (vg.Length(number) - vg.Length(policies-1)/2)
	heights := make(plotter.Values, len(places))
	spread, medians := &spreads{offset: offset}, &values{offset: offset}

	for i, place := range places {
		figure, ok := m.figure(place, policy)

		switch {
		case !ok:
			continue
		case figure.Median > top:
			medians.add(float64(i), top, m.format(figure.Median)+" (cut)")
		default:
			spread.add(float64(i), figure, top)
			medians.add(float64(i), max(m.base, min(figure.Highest, top)), m.format(figure.Median))
		}

		heights[i] = min(figure.Median, top)
	}

	bars, err := plotter.NewBarChart(heights, width)
	if err != nil {
		return nil, nil, err
	}

	bars.Offset, bars.LineStyle.Width, bars.Color = offset, 0, inUseColor
	if !inUse[policy] {
		bars.Color = baselineColors[number%len(baselineColors)]
	}

	p.Add(bars, spread)

	return bars, medians, nil
}

// shorten breaks long names of places into lines. A comma without a space
// after it separates digits.
func shorten(places []string) []string {
	lines := make([]string, 0, len(places))
	for _, place := range places {
		lines = append(lines, strings.ReplaceAll(place, ", ", "\n"))
	}

	return lines
}

func targetLine(limit float64, places int) (*plotter.Line, error) {
	line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: limit}, {X: float64(places) - 0.5, Y: limit}})
	if err != nil {
		return nil, err
	}

	line.Color = targetColor
	line.Width = vg.Points(1.2)
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}

	return line, nil
}
