package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrivalStream is a Poisson stream of arrivals.
type arrivalStream struct {
	rate     float64 // per second
	from, to time.Duration
	sidecars func(at time.Duration) []float64 // cumulative weights
	client   func() int                       // draws the client of the next arrival
}

// drawArrivals draws the arrivals of the load and of the faults that add to it, in order of time.
func (p *Plan) drawArrivals() error {
	client := p.clientSampler()
	streams := []arrivalStream{{p.Rate(), 0, Seconds(p.File.Seconds), p.sidecarSampler(""), client}}
	for index := range p.File.Faults {
		more, err := p.faultStreams(index, client)
		if err != nil {
			return err
		}
		streams = append(streams, more...)
	}
	total := 0.0
	for _, arrivals := range streams {
		total += arrivals.rate * (arrivals.to - arrivals.from).Seconds()
	}
	if total > maxArrivals {
		return p.File.errorAt("load", -1, "rate", "%.0f requests in all, %d at most", total, maxArrivals)
	}
	for index, arrivals := range streams {
		label := "arrivals"
		if index > 0 {
			label = fmt.Sprintf("arrivals %d", index)
		}
		p.drawStream(stream(p.Seed, label), arrivals)
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return nil
}

// faultStreams are the streams of arrivals that a fault adds: of a burst by the clients of the load, of a flood by clients of its own.
func (p *Plan) faultStreams(index int, client func() int) ([]arrivalStream, error) {
	fault := &p.File.Faults[index]
	at, end, rate := Seconds(fault.At), Seconds(fault.At+fault.For), fault.Size*p.Rate()
	switch fault.Do {
	case FaultBurst:
		if !slices.ContainsFunc(p.Sidecars, func(s Sidecar) bool { return fault.inZone(s.Zone) }) {
			return nil, p.File.errorAt("fault", index, "zone", "no sidecar is in %s", fault.Zone)
		}
		return []arrivalStream{{rate, at, end, p.sidecarSampler(fault.Zone), client}}, nil
	case FaultFlood:
		if fault.dry {
			rate = 0
		}
		weights, err := p.floodSidecars(index, fault, at, end)
		if err != nil {
			return nil, err
		}
		var streams []arrivalStream
		for i := range max(1, fault.Count) {
			sidecars := func(time.Duration) []float64 { return weights }
			streams = append(streams, arrivalStream{rate, at, end, sidecars, p.floodClients(index, i)})
		}
		return streams, nil
	}
	return nil, nil
}

// floodClients returns the clients of one stream of a flood: always the same one, or each time the next one.
func (p *Plan) floodClients(fault, index int) func() int {
	client := p.floodClient(fault, index)
	if !p.File.Faults[fault].Distinct {
		return func() int { return client }
	}
	return func() int { client++; return client }
}

// drawStream draws the arrivals of one stream.
func (p *Plan) drawStream(rng *rand.Rand, arrivals arrivalStream) {
	file := p.File
	var classes []float64
	for _, c := range file.Classes {
		classes = append(classes, c.Share)
	}
	classes = cumulativeSums(classes)
	if arrivals.rate <= 0 {
		return
	}
	// In seconds from the start of the stream.
	for t := rng.ExpFloat64() / arrivals.rate; arrivals.from+Seconds(t) < arrivals.to; t += rng.ExpFloat64() / arrivals.rate {
		at := arrivals.from + Seconds(t)
		arrival := Arrival{At: at, Sidecar: pickWeighted(rng, arrivals.sidecars(at)), Class: pickWeighted(rng, classes), TimeoutShare: uniform(rng, [2]float64{0.7, 1}), Backoff: -1}
		// At most ten times the mean, so that a single draw cannot push a server over.
		arrival.Work = Seconds(min(rng.ExpFloat64(), 10) * file.Classes[arrival.Class].WorkMS / 1000 * file.Load.WorkPart)
		backoff := Seconds(uniform(rng, [2]float64{0.017, 0.13}))
		if file.Load.Retries {
			arrival.Backoff = backoff
		}
		arrival.Client = arrivals.client()
		p.Arrivals = append(p.Arrivals, arrival)
	}
}

// clientSampler returns a function that draws clients: the i-th, from 1, in proportion to i to the power of -skew (Zipf's law).
func (p *Plan) clientSampler() func() int {
	n := p.File.Load.Clients
	if n == 0 {
		return func() int { return 0 }
	}
	r := stream(p.Seed, "clients")
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.File.Load.Skew)
	}
	weights = cumulativeSums(weights)
	return func() int { return pickWeighted(r, weights) + 1 }
}

// ClientName is the value of a client's header; "" is no tenant.
func ClientName(client int) string {
	if client == 0 {
		return ""
	}
	return fmt.Sprintf("t%d", client)
}

const floodClients = 1 << 22 // numbers for each fault, above those of all other clients

// floodClient is the j-th client of a flood, which sends nothing else; of a distinct flood, the number before the first client.
func (p *Plan) floodClient(fault, j int) int {
	return (fault+1)*floodClients + j*floodClients/maxFlooders
}

// Flooder reports whether a client is one of a flood, and of which fault.
func Flooder(client int) (fault int, ok bool) { return client/floodClients - 1, client >= floodClients }

// floodSidecars are the cumulative weights of the sidecars that a flood uses: all equally, or as many as the fault says, drawn.
func (p *Plan) floodSidecars(fault int, flood *Fault, at, end time.Duration) ([]float64, error) {
	var all []int
	for i, s := range p.Sidecars {
		if s.runsThroughout(at, end) && flood.inZone(s.Zone) {
			all = append(all, i)
		}
	}
	if flood.Through > len(all) || len(all) == 0 {
		return nil, p.File.errorAt("fault", fault, "through", "there are only %d sidecars to flood through then", len(all))
	}
	rng := stream(p.Seed, fmt.Sprintf("fault %d", fault))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if flood.Through > 0 {
		all = all[:flood.Through]
	}
	weights := make([]float64, len(p.Sidecars))
	for _, i := range all {
		weights[i] = 1
	}
	return cumulativeSums(weights), nil
}

// cumulativeSums replaces each value by the sum up to it.
func cumulativeSums(v []float64) []float64 {
	sum := 0.0
	for i := range v {
		sum += v[i]
		v[i] = sum
	}
	return v
}

// pickWeighted draws an index by cumulative weights.
func pickWeighted(r *rand.Rand, sums []float64) int {
	x := r.Float64() * sums[len(sums)-1]
	i, found := slices.BinarySearch(sums, x)
	if found { // an entry without weight ends where the one before does
		i++
	}
	return min(i, len(sums)-1)
}
