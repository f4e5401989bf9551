package plan

import (
	"cmp"
	"slices"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
)

// Hitters are the settings of the detection of heavy hitters, clients that ask for much of the fleet's work.
type Hitters struct {
	On   bool    `toml:"on"`
	High float64 `toml:"high"` // share of the work above which a client is suspected; 0: the program's default
	Low  float64 `toml:"low"`  // share below which a heavy client is released; 0: the program's default
	Twin bool    `toml:"twin"` // the same seed runs without its floods first, to measure what other clients lose by them
}

// WithoutFloods is the plan of the same file and seed without its floods: all other clients send the same requests at the same times.
func (p *Plan) WithoutFloods() (*Plan, error) {
	file := *p.File
	file.Faults = slices.Clone(file.Faults)
	for i := range file.Faults {
		file.Faults[i].dry = file.Faults[i].Do == FaultFlood // not removed: the draws of other faults depend on their index
	}
	file.Hitters.Twin = false
	file.Bars = nil
	return Make(&file, p.Seed)
}

// Flooded is the period from the detection time after the first flood begins until the last one ends; ok is false where there is none.
func (f *File) Flooded(detection time.Duration) (from, to time.Duration, ok bool) {
	for i := range f.Faults {
		fault := &f.Faults[i]
		if fault.Do != FaultFlood {
			continue
		}
		if at := Seconds(fault.At) + detection; !ok || at < from {
			from = at
		}
		to, ok = max(to, Seconds(fault.At+fault.For)), true
	}
	return from, to, ok && from < to
}

// Thresholds are the shares of the work in effect: those of the file, or the program's defaults where it has none.
func (h Hitters) Thresholds() (high, low float64) {
	defaults := hitters.Defaults()
	return cmp.Or(h.High, defaults.HighThreshold), cmp.Or(h.Low, defaults.LowThreshold)
}
