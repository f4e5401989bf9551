package plan

import (
	"cmp"

	"gradeusher.example/gradeusher/balance/hitters"
)

// Hitters has sidecars look for clients that ask for much of the fleet's work.
type Hitters struct {
	On   bool    `toml:"on"`
	High float64 `toml:"high"` // share of the work above which a client is suspected; 0: the program's own
	Low  float64 `toml:"low"`  // and under which a heavy one cools
}

// Bars are the shares that count.
func (h Hitters) Bars() (high, low float64) {
	own := hitters.Defaults()
	return cmp.Or(h.High, own.High), cmp.Or(h.Low, own.Low)
}
