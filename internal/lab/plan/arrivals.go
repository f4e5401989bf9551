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
	rate     float64                          // per second
	from, to time.Duration                    // from the start of the load
	sidecars func(at time.Duration) []float64 // cumulative weights of the sidecars, by index; times do not decrease
	client   func() int                       // draws the client of the next arrival
}

// drawArrivals draws the arrivals of the load and of the faults that add to it, in order of time. Each stream has a random stream of its own.
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

// faultStreams are the streams of arrivals that a fault adds: a burst one of the load's clients, a flood one for each of its own clients.
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

// floodClients returns a function that draws the clients of one stream of a flood: always the same one, or each time another one where the
// flood is distinct.
func (p *Plan) floodClients(fault, index int) func() int {
	client := p.floodClient(fault, index)
	if !p.File.Faults[fault].Distinct {
		return func() int { return client }
	}
	return func() int { client++; return client }
}

// The ranges from which arrivals are drawn.
var (
	timeoutShareRange = [2]float64{0.7, 1}      // of the give-up time
	backoffRange      = [2]float64{0.017, 0.13} // seconds
)

const (
	maxWorkFactor = 10 // of the mean work of a class, so that a single draw cannot overload a server
	noBackoff     = -1 // of an arrival without a retry
)

// drawStream draws the arrivals of one stream.
func (p *Plan) drawStream(rng *rand.Rand, arrivals arrivalStream) {
	if arrivals.rate <= 0 {
		return
	}
	var shares []float64
	for _, class := range p.File.Classes {
		shares = append(shares, class.Share)
	}
	classes := cumulativeSums(shares)
	sinceStart := rng.ExpFloat64() / arrivals.rate // seconds
	for arrivals.from+Seconds(sinceStart) < arrivals.to {
		p.Arrivals = append(p.Arrivals, p.drawArrival(rng, arrivals, classes, arrivals.from+Seconds(sinceStart)))
		sinceStart += rng.ExpFloat64() / arrivals.rate
	}
}

// drawArrival draws an arrival of a stream at a time. classes are the cumulative shares of the classes. The backoff is drawn whether there are
// retries or not, so that they move no other draw.
func (p *Plan) drawArrival(rng *rand.Rand, arrivals arrivalStream, classes []float64, at time.Duration) Arrival {
	arrival := Arrival{At: at, Backoff: noBackoff}
	arrival.Sidecar = pickWeighted(rng, arrivals.sidecars(at))
	arrival.Class = pickWeighted(rng, classes)
	arrival.TimeoutShare = uniform(rng, timeoutShareRange)
	workMS := min(rng.ExpFloat64(), maxWorkFactor) * p.File.Classes[arrival.Class].WorkMS
	arrival.Work = Seconds(workMS / 1000 * p.File.Load.WorkPart)
	backoff := Seconds(uniform(rng, backoffRange))
	if p.File.Load.Retries {
		arrival.Backoff = backoff
	}
	arrival.Client = arrivals.client()
	return arrival
}

// clientSampler returns a function that draws clients: the i-th, from 1, in proportion to i to the power of -skew (Zipf's law).
func (p *Plan) clientSampler() func() int {
	count := p.File.Load.Clients
	if count == 0 {
		return func() int { return 0 }
	}
	rng := stream(p.Seed, "clients")
	weights := make([]float64, count)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -p.File.Load.Skew)
	}
	weights = cumulativeSums(weights)
	return func() int { return pickWeighted(rng, weights) + 1 }
}

// ClientName is the name of a client by its number, which requests carry in the header X-Tenant-Id; "" is no tenant.
func ClientName(client int) string {
	if client == 0 {
		return ""
	}
	return fmt.Sprintf("t%d", client)
}

const floodClients = 1 << 22 // numbers of clients that each flood has to itself, above those of the load's clients

// floodClient is the number of a flood's client by its index; of a distinct flood, the number before those of its clients.
func (p *Plan) floodClient(fault, index int) int {
	return (fault+1)*floodClients + index*floodClients/maxFlooders
}

// Flooder returns the index of the fault by which a client floods. ok is false for clients of the load.
func Flooder(client int) (fault int, ok bool) { return client/floodClients - 1, client >= floodClients }

// floodSidecars are the cumulative weights of the sidecars that a flood uses: all equally, or as many as the fault says, drawn.
func (p *Plan) floodSidecars(index int, flood *Fault, at, end time.Duration) ([]float64, error) {
	var used []int
	for i, sidecar := range p.Sidecars {
		if sidecar.runsThroughout(at, end) && flood.inZone(sidecar.Zone) {
			used = append(used, i)
		}
	}
	if flood.Through > len(used) || len(used) == 0 {
		return nil, p.File.errorAt("fault", index, "through", "there are only %d sidecars to flood through then", len(used))
	}
	rng := stream(p.Seed, fmt.Sprintf("fault %d", index))
	rng.Shuffle(len(used), func(i, j int) { used[i], used[j] = used[j], used[i] })
	if flood.Through > 0 {
		used = used[:flood.Through]
	}
	weights := make([]float64, len(p.Sidecars))
	for _, i := range used {
		weights[i] = 1
	}
	return cumulativeSums(weights), nil
}

// cumulativeSums replaces each value by the sum up to it, and returns the same slice.
func cumulativeSums(values []float64) []float64 {
	sum := 0.0
	for i := range values {
		sum += values[i]
		values[i] = sum
	}
	return values
}

// pickWeighted draws an index by cumulative weights, of which the last is above 0.
func pickWeighted(rng *rand.Rand, sums []float64) int {
	point := rng.Float64() * sums[len(sums)-1]
	index, found := slices.BinarySearch(sums, point)
	if found { // an entry without weight ends where the one before does
		index++
	}
	return min(index, len(sums)-1)
}
