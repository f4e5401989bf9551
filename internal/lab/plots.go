package lab

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"gradeusher.example/gradeusher/internal/lab/check"
)

// line is one figure over time.
type line struct {
	name  string
	color color.Color
	value func(check.Second) float64
}

// chart is some lines that share their axes.
type chart struct {
	title string
	lines []line
}

// The colours of lines.
var (
	blue   = color.RGBA{31, 94, 168, 255}
	orange = color.RGBA{206, 92, 0, 255}
	grey   = color.RGBA{110, 110, 110, 255}
)

// bandColors are the colours of the bands of faults, which take turns.
var bandColors = []color.RGBA{{200, 60, 60, 255}, {60, 140, 60, 255}, {150, 90, 180, 255}, {180, 140, 30, 255}, {60, 140, 160, 255}}

// bandColor is the colour of the band of the index-th fault.
func bandColor(index int) color.RGBA { return bandColors[index%len(bandColors)] }

// The measures of charts. Lengths are in inches or in points.
const (
	chartWidthInches  = 9
	chartHeightInches = 2.6
	chartGapPoints    = 8
	lineWidthPoints   = 1.3
	bandOpacity       = 60   // of 255
	maxBandsAcross    = 400  // bands of faults that happen at once would fill the time axis
	headroomFactor    = 1.05 // of the value axis over the largest value
	minAxisEnd        = 0.01 // of the value axis, where all values are 0
)

// charts are those of a report, from the top.
var charts = []chart{
	{"worth a second: asked and served", []line{
		{"asked", grey, func(s check.Second) float64 { return s.Asked }},
		{"served", blue, func(s check.Second) float64 { return s.Served }},
	}},
	{"latency of what was served, ms", []line{
		{"median", blue, func(s check.Second) float64 { return s.P50 }},
		{"99th percentile", orange, func(s check.Second) float64 { return s.P99 }},
	}},
	{"attempts a request", []line{
		{"attempts", blue, perRequest(func(s check.Second) int { return s.Attempts })},
	}},
	{"share refused and failed", []line{
		{"refused", blue, perRequest(func(s check.Second) int { return s.Refused })},
		{"failed", orange, perRequest(func(s check.Second) int { return s.Failed })},
	}},
	{"spread: the busiest server over the mean, by size", []line{
		{"spread", blue, func(s check.Second) float64 { return s.Spread }},
	}},
}

// perRequest is a count for each request of its second; a second without requests counts as one with a single request.
func perRequest(count func(check.Second) int) func(check.Second) float64 {
	return func(s check.Second) float64 { return float64(count(s)) / float64(max(1, s.Requests)) }
}

// plot draws the chart of a result, with the faults as bands behind the lines.
func (c *chart) plot(result *Result) (*plot.Plot, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text = c.title, "seconds from the start of the load"
	figure.X.Min, figure.X.Max = 0, result.Seconds
	figure.Y.Min, figure.Y.Max = 0, max(c.largestValue(result.Course)*headroomFactor, minAxisEnd)
	minWidth := result.Seconds / maxBandsAcross
	for i, band := range result.Bands {
		if err := addBand(figure, band, minWidth, bandColor(i)); err != nil {
			return nil, err
		}
	}
	for i := range c.lines {
		if err := addLine(figure, &c.lines[i], result.Course); err != nil {
			return nil, err
		}
	}
	figure.Legend.Top = true
	return figure, nil
}

// largestValue is the largest value of all lines, or 0.
func (c *chart) largestValue(course []check.Second) float64 {
	largest := 0.0
	for _, l := range c.lines {
		for _, second := range course {
			largest = max(largest, l.value(second))
		}
	}
	return largest
}

// addBand adds the band of a fault, over the whole height of the figure. It is at least as wide as minWidth, in seconds.
func addBand(figure *plot.Plot, band Band, minWidth float64, shade color.RGBA) error {
	from, to, top := band.From, max(band.To, band.From+minWidth), figure.Y.Max
	area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	area.Color, area.Width = color.NRGBA{shade.R, shade.G, shade.B, bandOpacity}, 0
	figure.Add(area)
	return nil
}

// addLine adds a line and its name, with the value of each second in the middle of that.
func addLine(figure *plot.Plot, l *line, course []check.Second) error {
	points := make(plotter.XYs, len(course))
	for i, second := range course {
		points[i] = plotter.XY{X: float64(i) + 0.5, Y: l.value(second)}
	}
	drawn, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	drawn.Color, drawn.Width = l.color, vg.Points(lineWidthPoints)
	figure.Add(drawn)
	figure.Legend.Add(l.name, drawn)
	return nil
}

// errNoSVG says that the library's output is not what picture cuts its element out of.
var errNoSVG = errors.New("plot: the canvas wrote no <svg element")

// picture is all charts of a result below each other, as one element of HTML. Their time axes are aligned.
func picture(result *Result) (template.HTML, error) {
	var rows [][]*plot.Plot
	for i := range charts {
		figure, err := charts[i].plot(result)
		if err != nil {
			return "", err
		}
		rows = append(rows, []*plot.Plot{figure})
	}
	canvas := vgsvg.New(chartWidthInches*vg.Inch, vg.Length(len(rows))*chartHeightInches*vg.Inch)
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: vg.Points(chartGapPoints)}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(row[0])
	}
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", fmt.Errorf("plot: %w", err)
	}
	svg := text.String()
	begin := strings.Index(svg, "<svg")
	if begin < 0 {
		return "", errNoSVG
	}
	return template.HTML(svg[begin:]), nil // without the XML head; the library escapes the texts that it draws
}
