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

// line is one course over time.
type line struct {
	name  string
	color color.Color
	value func(check.Second) float64
}

// chart is some lines on one axis.
type chart struct {
	title string
	lines []line
}

var (
	blue   = color.RGBA{31, 94, 168, 255}
	orange = color.RGBA{206, 92, 0, 255}
	grey   = color.RGBA{110, 110, 110, 255}
)

func perRequest(v func(check.Second) int) func(check.Second) float64 {
	return func(s check.Second) float64 { return float64(v(s)) / float64(max(1, s.Requests)) }
}

var charts = []chart{
	{"worth a second: asked and served", []line{{"asked", grey, func(s check.Second) float64 { return s.Asked }},
		{"served", blue, func(s check.Second) float64 { return s.Served }}}},
	{"latency of what was served, ms", []line{{"median", blue, func(s check.Second) float64 { return s.P50 }},
		{"99th percentile", orange, func(s check.Second) float64 { return s.P99 }}}},
	{"attempts a request", []line{{"attempts", blue, perRequest(func(s check.Second) int { return s.Attempts })}}},
	{"share refused and failed", []line{{"refused", blue, perRequest(func(s check.Second) int { return s.Refused })},
		{"failed", orange, perRequest(func(s check.Second) int { return s.Failed })}}},
	{"spread: the busiest server over the mean, by size", []line{{"spread", blue, func(s check.Second) float64 { return s.Spread }}}},
}

// plot is a chart of a result, with the faults as bands.
func (c *chart) plot(r *Result) (*plot.Plot, error) {
	figure := plot.New()
	figure.Title.Text, figure.X.Label.Text = c.title, "seconds from the start of the load"
	figure.X.Min, figure.X.Max = 0, r.Seconds
	most := 0.0
	for _, l := range c.lines {
		for _, s := range r.Course {
			most = max(most, l.value(s))
		}
	}
	figure.Y.Min, figure.Y.Max = 0, max(most*1.05, 0.01)
	for i, b := range r.Bands {
		to := max(b.To, b.From+r.Seconds/400) // an instant is a thin band
		area, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: figure.Y.Max}, {X: b.From, Y: figure.Y.Max}})
		if err != nil {
			return nil, fmt.Errorf("plot: %w", err)
		}
		shade := bandColor(i)
		area.Color, area.Width = color.NRGBA{shade.R, shade.G, shade.B, 60}, 0
		figure.Add(area)
	}
	for _, l := range c.lines {
		points := make(plotter.XYs, len(r.Course))
		for i, s := range r.Course {
			points[i] = plotter.XY{X: float64(i) + 0.5, Y: l.value(s)}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("plot: %w", err)
		}
		drawn.Color, drawn.Width = l.color, vg.Points(1.3)
		figure.Add(drawn)
		figure.Legend.Add(l.name, drawn)
	}
	figure.Legend.Top = true
	return figure, nil
}

// picture is all charts under each other as SVG, their time axes aligned.
func picture(r *Result) (template.HTML, error) {
	var rows [][]*plot.Plot
	for i := range charts {
		p, err := charts[i].plot(r)
		if err != nil {
			return "", err
		}
		rows = append(rows, []*plot.Plot{p})
	}
	canvas := vgsvg.New(9*vg.Inch, vg.Length(len(rows))*2.6*vg.Inch)
	tiles := draw.Tiles{Rows: len(rows), Cols: 1, PadY: vg.Points(8)}
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
		return "", errors.New("plot: the canvas wrote no <svg element")
	}
	return template.HTML(svg[begin:]), nil // without the XML head; the library escapes what it draws
}

func bandColor(i int) color.RGBA {
	return []color.RGBA{{200, 60, 60, 255}, {60, 140, 60, 255}, {150, 90, 180, 255}, {180, 140, 30, 255}, {60, 140, 160, 255}}[i%5]
}
