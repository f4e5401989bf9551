package lab

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

// Spread is the median and the range of some values.
type Spread struct {
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
}

// newSpread returns the spread of at least one value.
func newSpread(values []float64) Spread {
	sorted := slices.Sorted(slices.Values(values))
	count := len(sorted)
	return Spread{Min: sorted[0], Median: (sorted[(count-1)/2] + sorted[count/2]) / 2, Max: sorted[count-1]}
}

// Compared is one figure of two experiments.
type Compared struct {
	Figure string  `json:"figure"`
	A      Spread  `json:"a"`
	B      Spread  `json:"b"`
	Ratio  *Spread `json:"ratio,omitempty"` // of B to A, run by run; nil: A was 0 in some run
	Better int     `json:"higher_in_b"`     // runs in which B's figure was higher
	Runs   int     `json:"runs"`            // of A, and as many of B
}

// Compare holds runs of A against runs of B, the i-th against the i-th, and returns their common figures, sorted by name. It fails with a
// *RunCountError unless there are as many of B as of A, and at least one.
func Compare(runsA, runsB []*Result) ([]Compared, error) {
	if len(runsA) == 0 || len(runsA) != len(runsB) {
		return nil, &RunCountError{A: len(runsA), B: len(runsB)}
	}
	var all []Compared
	for _, name := range slices.Sorted(maps.Keys(runsA[0].Figures)) {
		if compared, ok := compareFigure(name, runsA, runsB); ok {
			all = append(all, compared)
		}
	}
	return all, nil
}

// compareFigure compares one figure of as many runs of A as of B. ok is false where a run lacks the figure.
func compareFigure(name string, runsA, runsB []*Result) (compared Compared, ok bool) {
	compared = Compared{Figure: name, Runs: len(runsA)}
	var valuesA, valuesB, ratios []float64
	for i := range runsA {
		valueA, inA := runsA[i].Figures[name]
		valueB, inB := runsB[i].Figures[name]
		if !inA || !inB {
			return Compared{}, false
		}
		valuesA, valuesB = append(valuesA, valueA), append(valuesB, valueB)
		if valueB > valueA {
			compared.Better++
		}
		if valueA != 0 {
			ratios = append(ratios, valueB/valueA)
		}
	}
	compared.A, compared.B = newSpread(valuesA), newSpread(valuesB)
	if len(ratios) == len(runsA) {
		spread := newSpread(ratios)
		compared.Ratio = &spread
	}
	return compared, true
}

// PrintCompared writes compared figures as a table of text. An error of the writer is left alone.
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

// formatSpread is "median (min to max)", or a single value where all are the same or where the median is no number.
func formatSpread(s Spread) string {
	if s.Min == s.Max || math.IsNaN(s.Median) {
		return fmt.Sprintf("%.4g", s.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Min, s.Max)
}
