package lab

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
)

// Spread is the middle and the ends of some values.
type Spread struct {
	Least  float64 `json:"least"`
	Median float64 `json:"median"`
	Most   float64 `json:"most"`
}

func spread(v []float64) Spread {
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

// Compare holds runs of A against runs of B, the i-th against the i-th.
func Compare(a, b []*Result) ([]Compared, error) {
	if len(a) == 0 || len(a) != len(b) {
		return nil, fmt.Errorf("%d runs cannot be held against %d", len(a), len(b))
	}
	var all []Compared
	for _, name := range slices.Sorted(maps.Keys(a[0].Figures)) {
		var as, bs, ratios []float64
		c := Compared{Figure: name, Runs: len(a)}
		for i := range a {
			x, known := a[i].Figures[name]
			y, both := b[i].Figures[name]
			if !known || !both {
				continue
			}
			as, bs = append(as, x), append(bs, y)
			if y > x {
				c.Better++
			}
			if x != 0 {
				ratios = append(ratios, y/x)
			}
		}
		if len(as) != len(a) {
			continue // not a figure of both
		}
		c.A, c.B = spread(as), spread(bs)
		if len(ratios) == len(a) {
			s := spread(ratios)
			c.Ratio = &s
		}
		all = append(all, c)
	}
	return all, nil
}

// PrintCompared writes a table of it.
func PrintCompared(w io.Writer, all []Compared) {
	fmt.Fprintf(w, "%-20s %30s %30s %28s %8s\n", "figure", "A: median (least to most)", "B: median (least to most)", "B/A, run by run", "B higher")
	for _, c := range all {
		ratio := "-"
		if c.Ratio != nil {
			ratio = words(*c.Ratio)
		}
		fmt.Fprintf(w, "%-20s %30s %30s %28s %5d/%d\n", c.Figure, words(c.A), words(c.B), ratio, c.Better, c.Runs)
	}
}

func words(s Spread) string {
	if s.Least == s.Most || math.IsNaN(s.Median) {
		return fmt.Sprintf("%.4g", s.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Least, s.Most)
}
