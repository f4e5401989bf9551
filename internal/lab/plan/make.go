package plan

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"gradeusher.example/gradeusher/internal/lab/model"
)

// Make draws the plan of a file for a seed. It fails with an *Error where faults exclude each other, or find no target.
func Make(file *File, seed uint64) (*Plan, error) {
	plan := &Plan{File: file, Seed: seed}
	if err := plan.drawSidecars(); err != nil {
		return nil, err
	}
	kinds := plan.drawKinds(file.Fleet.Servers)
	for i := range file.Fleet.Servers {
		plan.Servers = append(plan.Servers, plan.drawSpec(i, file.Fleet.Zones[i%len(file.Fleet.Zones)], kinds[i]))
	}
	plan.InitialServers = len(plan.Servers)
	if err := plan.drawArrivals(); err != nil {
		return nil, err
	}
	if err := plan.drawSteps(); err != nil {
		return nil, err
	}
	plan.setHashes()
	return plan, nil
}

// Groups is how many groups of sidecars there are, each with listeners of its own at every server.
func (p *Plan) Groups() int {
	if p.File.Registry.Count > 0 {
		return 1
	}
	return len(p.File.Fleet.Zones)
}

// drawKinds draws the kinds of some servers, as indexes in the file: by share, as closely as whole servers allow, in random order.
func (p *Plan) drawKinds(count int) []int {
	sum := 0.0
	for _, k := range p.File.Kinds {
		sum += k.Share
	}
	var kinds []int
	due := 0.0
	for k, kind := range p.File.Kinds {
		due += kind.Share / sum * float64(count)
		for len(kinds) < int(math.Round(due)) {
			kinds = append(kinds, k)
		}
	}
	rng := stream(p.Seed, "kinds")
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// drawSpec draws the server of an index, in the ranges of BRIEF, or of the site file where BRIEF has none.
func (p *Plan) drawSpec(index int, zone string, kindIndex int) model.Spec {
	rng := stream(p.Seed, fmt.Sprintf("server %d", index))
	kind := p.File.Kinds[kindIndex]
	spec := model.Spec{
		UID: fmt.Sprintf("s-%08x", rng.Uint32()), Zone: zone, Kind: kind.Name, Cores: kind.Cores, Speed: uniform(rng, kind.Speed), Slots: kind.Cores,
		Queue: kind.Cores * (200 + rng.IntN(500)), Thrash: uniform(rng, [2]float64{0.015, 0.07}), ThrashAt: uniform(rng, [2]float64{2.6, 7}),
		ColdFrom: uniform(rng, [2]float64{0.14, 0.36}), ColdFor: Seconds(uniform(rng, [2]float64{11, 24})),
		FallMultiple: 3, FallFor: 1500 * time.Millisecond, ErrorRate: p.File.Fleet.ErrorRate, DropsExpired: rng.IntN(2) == 0,
		ConnCap: kind.Cores * (600 + rng.IntN(300)), ConnWork: Seconds(uniform(rng, [2]float64{0.00078, 0.0015})),
		ReportEvery: Seconds(uniform(rng, [2]float64{0.32, 1.2})), ReportDelay: Seconds(uniform(rng, [2]float64{0.23, 0.48})), Seed: rng.Uint64(),
	}
	if p.File.List.Sizes == SizesRough {
		rough := stream(p.Seed, fmt.Sprintf("size %d", index))
		spec.Hint = spec.Capacity() * uniform(rough, [2]float64{0.8, 1.2})
	}
	return spec
}

// Capacity is the work per second of all initial servers when warm.
func (p *Plan) Capacity() float64 {
	sum := 0.0
	for i := range p.InitialServers {
		sum += p.Servers[i].Capacity()
	}
	return sum
}

// Rate is the mean number of requests per second of the load.
func (p *Plan) Rate() float64 {
	file := p.File
	if file.Load.Rate > 0 {
		return file.Load.Rate
	}
	shares, work := 0.0, 0.0
	for _, class := range file.Classes {
		shares += class.Share
		work += class.Share * class.WorkMS / 1000 * file.Load.WorkPart
	}
	return file.Load.Share * p.Capacity() / (work / shares)
}

// setHashes sets the hashes that identify the plan. StepsHash includes the names of the fields of Step, LinkEffect and model.Spec.
func (p *Plan) setHashes() {
	hasher := xxhash.New()
	put := func(values ...any) {
		for _, value := range values {
			_ = binary.Write(hasher, binary.LittleEndian, value) // a hash never fails
		}
	}
	for _, a := range p.Arrivals {
		put(int64(a.At), int64(a.Sidecar), int64(a.Class), int64(a.Work), a.TimeoutShare, int64(a.Backoff), int64(a.Client))
	}
	p.ArrivalsHash = fmt.Sprintf("%016x", hasher.Sum64())
	hasher.Reset()
	for _, s := range p.Steps {
		_, _ = fmt.Fprintf(hasher, "%+v\n", s) // a hash never fails
	}
	for _, s := range p.Servers {
		_, _ = fmt.Fprintf(hasher, "%+v\n", s) // a hash never fails
	}
	p.StepsHash = fmt.Sprintf("%016x", hasher.Sum64())
}

// stream returns a random stream of its own for a purpose, so that a change of one draw moves no other.
func stream(seed uint64, label string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(label)))
}

// uniform draws a value of a range, from its first bound to its second.
func uniform(rng *rand.Rand, bounds [2]float64) float64 {
	return bounds[0] + rng.Float64()*(bounds[1]-bounds[0])
}

// Seconds is the duration of a number of seconds, as experiment files have times.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis is the duration of a number of milliseconds.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
