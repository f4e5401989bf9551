package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// load is a stream of arrivals, by rate, time and sidecars.
type load struct {
	rate     float64 // a second
	from, to time.Duration
	sidecars func(at time.Duration) []float64 // sums of weights
	client   func() int
}

func (p *Plan) drawArrivals() error {
	f := p.File
	each := p.clients()
	all := []load{{p.Rate(), 0, Seconds(f.Seconds), p.sidecarSums(""), each}}
	for i := range f.Faults {
		t := &f.Faults[i]
		at, end, rate := Seconds(t.At), Seconds(t.At+t.For), t.Size*p.Rate()
		switch t.Do {
		case "burst":
			if !slices.ContainsFunc(p.Sidecars, func(s Sidecar) bool { return t.Zone == "" || s.Zone == t.Zone }) {
				return f.bad("fault", i, "zone", "no sidecar is in %s", t.Zone)
			}
			all = append(all, load{rate, at, end, p.sidecarSums(t.Zone), each})
		case "flood":
			if t.dry {
				rate = 0
			}
			through, err := p.floodSidecars(i, t, at, end)
			if err != nil {
				return err
			}
			for j := range max(1, t.Count) {
				client := p.flooder(i, j)
				who := func() int { return client }
				if t.Distinct {
					next := client
					who = func() int { next++; return next }
				}
				all = append(all, load{rate, at, end, func(time.Duration) []float64 { return through }, who})
			}
		}
	}
	n := 0.0
	for _, l := range all {
		n += l.rate * (l.to - l.from).Seconds()
	}
	if n > mostArrivals {
		return f.bad("load", -1, "rate", "%.0f requests in all, %d at most", n, mostArrivals)
	}
	for i, l := range all {
		label := "arrivals"
		if i > 0 {
			label = fmt.Sprintf("arrivals %d", i)
		}
		p.arrive(stream(p.Seed, label), l)
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// arrive draws the arrivals of one stream.
func (p *Plan) arrive(r *rand.Rand, l load) {
	f := p.File
	var classes []float64
	for _, c := range f.Classes {
		classes = append(classes, c.Share)
	}
	classes = sums(classes)
	if l.rate <= 0 {
		return
	}
	// In seconds from the start of the stream.
	for t := r.ExpFloat64() / l.rate; l.from+Seconds(t) < l.to; t += r.ExpFloat64() / l.rate {
		at := l.from + Seconds(t)
		a := Arrival{At: at, Sidecar: pick(r, l.sidecars(at)), Class: pick(r, classes), TimeoutShare: between(r, [2]float64{0.7, 1}), Backoff: -1}
		// At most ten times the mean, so that a single draw cannot push a server over.
		a.Work = Seconds(min(r.ExpFloat64(), 10) * f.Classes[a.Class].WorkMS / 1000 * f.Load.WorkPart)
		backoff := Seconds(between(r, [2]float64{0.017, 0.13}))
		if f.Load.Retries {
			a.Backoff = backoff
		}
		a.Client = l.client()
		p.Arrivals = append(p.Arrivals, a)
	}
}

// clients draws who asks: the i-th, from 1, by i to the power of -skew (Zipf's law).
func (p *Plan) clients() func() int {
	n := p.File.Load.Clients
	if n == 0 {
		return func() int { return 0 }
	}
	r := stream(p.Seed, "clients")
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.File.Load.Skew)
	}
	weights = sums(weights)
	return func() int { return pick(r, weights) + 1 }
}

// ClientName is the value of a client's header; "" is for nobody by name.
func ClientName(client int) string {
	if client == 0 {
		return ""
	}
	return fmt.Sprintf("t%d", client)
}

const floodClients = 1 << 22 // for each fault, above the numbers of all clients

// flooder is the j-th client of a flood, a client that asks for nothing else; of a distinct flood, the one before the first.
func (p *Plan) flooder(fault, j int) int { return (fault+1)*floodClients + j*floodClients/mostFlooders }

// Flooder tells whether a client is one of a flood, and of which fault.
func Flooder(client int) (fault int, ok bool) { return client/floodClients - 1, client >= floodClients }

// floodSidecars are the weights of those that a flood goes through: all alike, or as many as the fault says, drawn.
func (p *Plan) floodSidecars(fault int, t *Fault, at, end time.Duration) ([]float64, error) {
	var all []int
	for i, s := range p.Sidecars {
		if s.there(at, end) && (t.Zone == "" || s.Zone == t.Zone) {
			all = append(all, i)
		}
	}
	if t.Through > len(all) || len(all) == 0 {
		return nil, p.File.bad("fault", fault, "through", "there are only %d sidecars to flood through then", len(all))
	}
	r := stream(p.Seed, fmt.Sprintf("fault %d", fault))
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if t.Through > 0 {
		all = all[:t.Through]
	}
	weights := make([]float64, len(p.Sidecars))
	for _, i := range all {
		weights[i] = 1
	}
	return sums(weights), nil
}

func sums(v []float64) []float64 {
	sum := 0.0
	for i := range v {
		sum += v[i]
		v[i] = sum
	}
	return v
}

func pick(r *rand.Rand, sums []float64) int {
	x := r.Float64() * sums[len(sums)-1]
	i, found := slices.BinarySearch(sums, x)
	if found { // an entry without weight ends where the one before does
		i++
	}
	return min(i, len(sums)-1)
}
