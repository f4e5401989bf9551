package lab

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// Spread is the middle and the ends of some values.
type Spread struct {
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
}

func newSpread(v []float64) Spread {
	v = slices.Sorted(slices.Values(v))
	n := len(v)
	return Spread{v[0], (v[(n-1)/2] + v[n/2]) / 2, v[n-1]}
}

// Compared is one figure of two experiments.
type Compared struct {
	Figure string  `json:"figure"`
	A      Spread  `json:"a"`
	B      Spread  `json:"b"`
	Ratio  *Spread `json:"ratio,omitempty"` // of B to A, run by run; none where A was 0
	Better int     `json:"higher_in_b"`     // runs in which B's was higher
	Runs   int     `json:"runs"`
}

// Compare holds runs of A against runs of B, the i-th against the i-th, and returns their common figures, sorted by name. It fails with a
// *RunCountError unless there are as many of B as of A, and at least one.
func Compare(runsA, runsB []*Result) ([]Compared, error) {
	if len(runsA) == 0 || len(runsA) != len(runsB) {
		return nil, &RunCountError{A: len(runsA), B: len(runsB)}
	}
	var all []Compared
	for _, name := range slices.Sorted(maps.Keys(runsA[0].Figures)) {
		var valuesA, valuesB, ratios []float64
		compared := Compared{Figure: name, Runs: len(runsA)}
		for i := range runsA {
			x, known := runsA[i].Figures[name]
			y, both := runsB[i].Figures[name]
			if !known || !both {
				continue
			}
			valuesA, valuesB = append(valuesA, x), append(valuesB, y)
			if y > x {
				compared.Better++
			}
			if x != 0 {
				ratios = append(ratios, y/x)
			}
		}
		if len(valuesA) != len(runsA) {
			continue // not a figure of both
		}
		compared.A, compared.B = newSpread(valuesA), newSpread(valuesB)
		if len(ratios) == len(runsA) {
			s := newSpread(ratios)
			compared.Ratio = &s
		}
		all = append(all, compared)
	}
	return all, nil
}

// PrintCompared writes a table of it.
func PrintCompared(w io.Writer, all []Compared) {
	var text strings.Builder
	fmt.Fprintf(&text, "%-20s %30s %30s %28s %8s\n", "figure", "A: median (least to most)", "B: median (least to most)", "B/A, run by run", "B higher")
	for _, c := range all {
		ratio := "-"
		if c.Ratio != nil {
			ratio = formatSpread(*c.Ratio)
		}
		fmt.Fprintf(&text, "%-20s %30s %30s %28s %5d/%d\n", c.Figure, formatSpread(c.A), formatSpread(c.B), ratio, c.Better, c.Runs)
	}
	_, _ = io.WriteString(w, text.String()) // a reader who has gone needs no table
}

func formatSpread(s Spread) string {
	if s.Min == s.Max || math.IsNaN(s.Median) {
		return fmt.Sprintf("%.4g", s.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max)
}
