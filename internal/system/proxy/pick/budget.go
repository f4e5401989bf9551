package pick

import "time"

const (
	budgetCells = 20  // a window is counted in this many cells
	budgetUse   = 0.8 // the part of the allowance that is used: arrivals lag sends
)

// budget counts one service's requests and repeats of this proxy over a sliding window.
type budget struct {
	window   time.Duration
	cells    [budgetCells + 1]struct{ requests, repeats float64 }
	at       int64 // number of the newest cell
	requests float64
	repeats  float64
}

// turn drops the cells that have left the window. The window is one cell longer for safety.
func (b *budget) turn(now Time) int {
	cell := int64(now) / max(int64(b.window)/budgetCells, 1)
	if cell > b.at {
		n := min(cell-b.at, int64(len(b.cells)))
		for i := int64(1); i <= n; i++ {
			c := &b.cells[(cell-n+i)%int64(len(b.cells))]
			b.requests -= c.requests
			b.repeats -= c.repeats
			c.requests, c.repeats = 0, 0
		}
		b.at = cell
	}
	return int(b.at % int64(len(b.cells)))
}

func (b *budget) request(now Time, part float64) {
	c := &b.cells[b.turn(now)]
	c.requests += part
	b.requests += part
}

// allows tells whether one more repeat fits: ratio of the own requests, and a part of the slack.
func (b *budget) allows(now Time, ratio, slack float64) bool {
	b.turn(now)
	return b.repeats+1 <= budgetUse*(ratio*b.requests+slack)
}

func (b *budget) repeat(now Time, n float64) {
	c := &b.cells[b.turn(now)]
	c.repeats += n
	b.repeats += n
}
