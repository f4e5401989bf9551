package plan

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// Hitters has sidecars look for clients that ask for much of the fleet's work.
type Hitters struct {
	On   bool    `toml:"on"`
	High float64 `toml:"high"` // share of the work above which a client is suspected; 0: the program's own
	Low  float64 `toml:"low"`  // and under which a heavy one cools
	Twin bool    `toml:"twin"` // the same seed is played without its floods first, for what sound clients lose by them
}

// WithoutFloods is the plan of the same file and seed but for its floods: whoever is no part of one asks for the same at the same times.
func (p *Plan) WithoutFloods() (*Plan, error) {
	f := *p.File
	f.Faults = slices.Clone(f.Faults)
	for i := range f.Faults {
		f.Faults[i].dry = f.Faults[i].Do == "flood" // and not left out: what others draw goes by their numbers
	}
	f.Hitters.Twin = false
	f.Bars = nil
	return Make(&f, p.Seed)
}

// Flooded is from when the first flood of a file should be judged, until when the last one ends; false: there is none.
func (f *File) Flooded(judged time.Duration) (from, to time.Duration, ok bool) {
	for i := range f.Faults {
		if t := &f.Faults[i]; t.Do == "flood" {
			if at := Seconds(t.At) + judged; !ok || at < from {
				from = at
			}
			to, ok = max(to, Seconds(t.At+t.For)), true
		}
	}
	return from, to, ok && from < to
}

// Thresholds are the shares that count.
func (h Hitters) Thresholds() (high, low float64) {
	own := hitters.Defaults()
	return cmp.Or(h.High, own.HighThreshold), cmp.Or(h.Low, own.LowThreshold)
}
