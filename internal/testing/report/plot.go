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
	panelColumns   = 2
	panelWidth     = 19 * vg.Centimeter
	panelHeight    = 8 * vg.Centimeter
	panelPadding   = 4 * vg.Millimeter
	legendWidth    = 4.2 * vg.Centimeter
	textSize       = 9
	medianTextSize = 7
	groupWidth     = 11 * vg.Centimeter // total width of the bars of a panel

	// Space above the highest bar for the labels, as a fraction of the axis.
	headroom = 0.3
)

// Blue marks the policy in use and the other colors mark baselines. The palette
// is distinguishable for color-blind readers (Okabe and Ito, 2008).
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

// WriteSVG writes an SVG image with a panel for each measure. A panel has a bar
// with its spread for each place and policy, and the target as a dashed line.
func (r *Report) WriteSVG(w io.Writer) error {
	width, height := r.size()
	canvas := vgsvg.New(width, height)

	return r.write(w, canvas, canvas)
}

// WritePNG writes the same image as WriteSVG in PNG format.
func (r *Report) WritePNG(w io.Writer) error {
	width, height := r.size()
	canvas := vgimg.New(width, height)

	return r.write(w, canvas, vgimg.PngCanvas{Canvas: canvas})
}

func (r *Report) size() (width, height vg.Length) {
	rows := (len(r.Measures) + panelColumns - 1) / panelColumns

	return panelColumns * panelWidth, vg.Length(max(rows, 1)) * panelHeight
}

func (r *Report) write(w io.Writer, canvas vg.CanvasSizer, output io.WriterTo) error {
	page := draw.New(canvas)
	page.SetColor(color.White)
	page.Fill(page.Path())

	for i := range r.Measures {
		left := vg.Length(i%panelColumns) * panelWidth
		top := page.Max.Y - vg.Length(i/panelColumns)*panelHeight
		panel := draw.Canvas{Canvas: page.Canvas, Rectangle: vg.Rectangle{
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

// draw draws the panel of the measure, with the legend on the right.
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

	top := m.resolveAxisMax()
	places, policies := m.places(), m.policies()

	medianLabels := make([]plot.Plotter, len(policies))

	for i, policy := range policies {
		bars, labels, err := m.bars(p, policy, i, len(policies), top)
		if err != nil {
			return err
		}

		medianLabels[i] = labels

		legend.Add(policyLabel(policy), bars)
	}

	if m.Target != nil {
		line, err := targetLine(m.Target.Limit, len(places))
		if err != nil {
			return err
		}

		p.Add(line)
		legend.Add("target: "+m.targetText(), line)
	}

	p.Add(medianLabels...)
	p.NominalX(wrapNames(places)...)
	p.X.Min, p.X.Max = -0.5, float64(len(places))-0.5
	p.Y.Min, p.Y.Max = m.axisMin, m.axisMin+(top-m.axisMin)*(1+headroom)
	p.Y.Tick.Marker = ticks(m.axisMin, top)

	p.Draw(draw.Crop(canvas, 0, -legendWidth, 0, 0))
	legend.Draw(draw.Crop(canvas, canvas.Size().X-legendWidth+2*vg.Millimeter, 0, 0, -panelHeight/8))

	return nil
}

// resolveAxisMax returns the top of the axis. Bars above it are truncated.
func (m *Measure) resolveAxisMax() float64 {
	if m.axisMax > 0 {
		return m.axisMax
	}

	top := 0.0
	if m.Target != nil {
		top = m.Target.Limit
	}

	for _, figure := range m.Figures {
		top = max(top, figure.Highest)
	}

	if top <= m.axisMin {
		return m.axisMin + 1
	}

	return roundAxisMax(top)
}

// bars adds the bars of a policy and their error bars to the plot. It returns
// the bars for the legend, and their labels, which are drawn last. The x values
// are the indexes of the places.
func (m *Measure) bars(
	p *plot.Plot, policy string, index, policies int, top float64,
) (*plotter.BarChart, *valueLabels, error) {
	places := m.places()
	width := groupWidth / vg.Length(len(places)*(policies+1))
	offset := width * (vg.Length(index) - vg.Length(policies-1)/2)
	heights := make(plotter.Values, len(places))
	ranges, labels := &errorBars{offset: offset}, &valueLabels{offset: offset}

	for i, place := range places {
		figure, ok := m.figure(place, policy)

		switch {
		case !ok:
			continue
		case figure.Median > top:
			labels.add(float64(i), top, m.format(figure.Median)+" (cut)")
		default:
			ranges.add(float64(i), figure, top)
			labels.add(float64(i), max(m.axisMin, min(figure.Highest, top)), m.format(figure.Median))
		}

		heights[i] = min(figure.Median, top)
	}

	bars, err := plotter.NewBarChart(heights, width)
	if err != nil {
		return nil, nil, err
	}

	bars.Offset, bars.LineStyle.Width, bars.Color = offset, 0, inUseColor
	if !policiesInUse[policy] {
		bars.Color = baselineColors[index%len(baselineColors)]
	}

	p.Add(bars, ranges)

	return bars, labels, nil
}

// wrapNames breaks names into lines at each comma followed by a space. A comma
// without a space separates digits.
func wrapNames(places []string) []string {
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
