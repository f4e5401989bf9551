package lab

import (
	"bytes"
	"strings"
	"testing"

	"gradeusher.example/gradeusher/internal/lab/check"
)

func results(figure string, values ...float64) []*Result {
	var all []*Result
	for _, v := range values {
		all = append(all, &Result{Figures: check.Figures{figure: v, "zero": 0}})
	}
	return all
}

// TestCompare has ratios be of the i-th run to the i-th, with their spread.
func TestCompare(t *testing.T) {
	all, err := Compare(results("p99_ms", 10, 20, 40, 100), results("p99_ms", 20, 30, 40, 50))
	if err != nil || len(all) != 2 {
		t.Fatalf("%v, %v", all, err)
	}
	c := all[0]
	if c.A != (Spread{10, 30, 100}) || c.B != (Spread{20, 35, 50}) || *c.Ratio != (Spread{0.5, 1.25, 2}) || c.Better != 2 || c.Runs != 4 {
		t.Errorf("%+v, ratio %+v", c, *c.Ratio)
	}
	if all[1].Ratio != nil {
		t.Error("there is a ratio to 0")
	}
	var text bytes.Buffer
	PrintCompared(&text, all)
	if !strings.Contains(text.String(), "1.25 (0.5 to 2)") {
		t.Errorf("printed %s", &text)
	}
	if _, err := Compare(results("x", 1), results("x", 1, 2)); err == nil {
		t.Error("one run was held against two")
	}
}
