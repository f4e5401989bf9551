package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

// drawer turns faults into steps, in the order of the file.
type drawer struct {
	*Plan
	fault  int
	r      *rand.Rand
	living []life // of servers, as far as faults decide it
	busy   map[string][]span
}

// life is when a server stands on a list.
type life struct {
	index    int // in Servers
	from, to time.Duration
}

type span struct {
	from, to time.Duration
	fault    int
}

const forever = time.Duration(math.MaxInt64)

func (p *Plan) drawSteps() error {
	d := &drawer{Plan: p, busy: map[string][]span{}}
	for i := range p.Standing {
		d.living = append(d.living, life{i, 0, forever})
	}
	for i := range p.File.Faults {
		d.fault, d.r = i, stream(p.Seed, fmt.Sprintf("fault %d", i))
		t := &p.File.Faults[i]
		if err := d.draw(t); err != nil {
			return p.File.bad("fault", i, "do", "%v", err)
		}
		p.Bands = append(p.Bands, Band{i, t.Do + d.target(t), Seconds(t.At), Seconds(t.At + t.For)})
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return nil
}

func (d *drawer) target(t *Fault) string {
	s := " " + t.On
	if len(t.Names) > 0 {
		s = " " + strings.Join(t.Names, ",")
	}
	if t.Zone != "" {
		s += " of " + t.Zone
	}
	if t.From != "" {
		s += " from " + t.From
	}
	if t.Part > 0 {
		s += fmt.Sprintf(" %.0f%%", t.Part*100)
	}
	return s
}

// claim keeps two faults from acting on one process, or one property of one server, at a time.
func (d *drawer) claim(what string, from, to time.Duration) error {
	for _, s := range d.busy[what] {
		if from < s.to && s.from < to {
			return fmt.Errorf("acts on %s while fault %d of the file does", what, s.fault+1)
		}
	}
	d.busy[what] = append(d.busy[what], span{from, to, d.fault})
	return nil
}

func (d *drawer) step(s Step) {
	s.Fault = d.fault
	d.Steps = append(d.Steps, s)
}

// choose draws n of what there is, by part, count or names.
func choose[T any](r *rand.Rand, t *Fault, all []T, name func(T) string) ([]T, error) {
	if len(t.Names) > 0 {
		var chosen []T
		for _, want := range t.Names {
			i := slices.IndexFunc(all, func(v T) bool { return name(v) == want })
			if i < 0 {
				return nil, fmt.Errorf("there is no %q to act on then", want)
			}
			chosen = append(chosen, all[i])
		}
		return chosen, nil
	}
	n := len(all)
	switch {
	case t.Count > len(all):
		return nil, fmt.Errorf("there are only %d to act on then, not %d", len(all), t.Count)
	case t.Count > 0:
		n = t.Count
	case t.Part > 0:
		n = max(1, int(math.Round(t.Part*float64(len(all)))))
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("there is nothing to act on then")
	}
	chosen := slices.Clone(all)
	r.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:n], nil
}

// sidecars are those that a fault on processes means.
func (d *drawer) sidecars(t *Fault) ([]int, error) {
	if t.On == "list" {
		return []int{ListIndex}, nil
	}
	if t.On == "keepers" {
		return d.keepers(t)
	}
	var all []int
	for i, s := range d.Sidecars {
		if s.there(Seconds(t.At), Seconds(t.At+t.For)) && (t.Zone == "" || s.Zone == t.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.r, t, all, func(i int) string { return d.Sidecars[i].Name })
}

// keepers are those that a fault means, as process indexes: "leader" is drawn by the keepers themselves.
func (d *drawer) keepers(t *Fault) ([]int, error) {
	if slices.Equal(t.Names, []string{"leader"}) {
		return []int{LeaderIndex}, nil
	}
	var all []int
	for k := range d.File.Keepers.Count {
		all = append(all, KeeperIndex(k))
	}
	return choose(d.r, t, all, func(i int) string {
		k, _ := KeeperOf(i)
		return KeeperName(k)
	})
}

// servers are those that stand throughout a time, as indexes into living. A server is named "1", "2", ... in the order of
// the start.
func (d *drawer) servers(t *Fault, from, to time.Duration) ([]int, error) {
	var all []int
	for i, l := range d.living {
		if l.from <= from && l.to >= to && (t.Zone == "" || d.Servers[l.index].Zone == t.Zone) {
			all = append(all, i)
		}
	}
	return choose(d.r, t, all, func(i int) string { return fmt.Sprint(d.living[i].index + 1) })
}

func (d *drawer) draw(t *Fault) error {
	at, end := Seconds(t.At), Seconds(t.At+t.For)
	switch t.Do {
	case "backup", "restore":
		d.step(Step{At: at, Do: t.Do, Sidecar: LeaderIndex})
		return nil
	case "disk-torn", "disk-short":
		chosen, err := d.keepers(t)
		for _, i := range chosen {
			d.step(Step{At: at, Do: Tear, Sidecar: i, Mode: strings.TrimPrefix(t.Do, "disk-")})
		}
		return err
	case "kill", "term", "stop", "disk-full", "disk-readonly":
		return d.process(t, at, end)
	case "list-late", "list-old", "list-cut", "list-garbled":
		if err := d.claim("the list's answers", at, end); err != nil {
			return err
		}
		d.step(Step{At: at, Do: Mode, Sidecar: ListIndex, Mode: strings.TrimPrefix(t.Do, "list-"), By: Seconds(t.Size)})
		d.step(Step{At: end, Do: Mode, Sidecar: ListIndex})
		return nil
	case "burst", "flood":
		return nil // arrivals
	case "join", "leave":
		return d.comeAndGo(t)
	case "roll":
		return d.roll(t, at)
	case "delay", "silence", "partition", "trickle", "loss", "reset", "half-open":
		return d.links(t, at, end)
	case "deploy":
		return d.deploy(t, at)
	}
	servers, err := d.servers(t, at, max(end, at+1))
	if err != nil {
		return err
	}
	for _, i := range servers {
		if err := d.server(t, i, at, end); err != nil {
			return err
		}
	}
	return nil
}

func (d *drawer) process(t *Fault, at, end time.Duration) error {
	chosen, err := d.sidecars(t)
	if err != nil {
		return err
	}
	for _, i := range chosen {
		name := "the list"
		if i >= 0 {
			name = d.Sidecars[i].Name
		}
		if k, ok := KeeperOf(i); ok {
			name = KeeperName(k)
		} else if i == LeaderIndex {
			name = "the leader of the keepers"
		}
		until := end
		if t.Do == "kill" || t.Do == "term" {
			until = forever
			if t.Restart != nil {
				until = at + Seconds(*t.Restart) + TermGrace
			}
		}
		if err := d.claim(name, at, until); err != nil {
			return err
		}
		switch t.Do {
		case "kill", "term":
			d.step(Step{At: at, Do: t.Do, Sidecar: i})
			if t.Restart != nil {
				// After the end of the process, which the lab waits for.
				d.step(Step{At: at + Seconds(*t.Restart), Do: Start, Sidecar: i})
			}
		case "stop":
			d.step(Step{At: at, Do: Stop, Sidecar: i})
			d.step(Step{At: end, Do: Cont, Sidecar: i})
		default:
			d.step(Step{At: at, Do: Disk, Sidecar: i, Mode: strings.TrimPrefix(t.Do, "disk-")})
			d.step(Step{At: end, Do: Disk, Sidecar: i})
		}
	}
	return nil
}

// comeAndGo has sidecars start or end that were drawn to.
func (d *drawer) comeAndGo(t *Fault) error {
	for i, s := range d.Sidecars {
		switch {
		case t.Do == "join" && s.joined == d.fault+1:
			if s.Started() > 0 { // else it stands as the load starts
				d.step(Step{At: s.Started(), Do: Start, Sidecar: i})
			}
		case t.Do == "leave" && s.left == d.fault+1:
			if err := d.claim(s.Name, s.To, forever); err != nil {
				return err
			}
			d.step(Step{At: s.To, Do: Term, Sidecar: i})
		}
	}
	return nil
}

// roll ends sidecars batch by batch, evenly over the time, and starts each again.
func (d *drawer) roll(t *Fault, at time.Duration) error {
	chosen, err := d.sidecars(t)
	if err != nil {
		return err
	}
	restart := 100 * time.Millisecond
	if t.Restart != nil {
		restart = Seconds(*t.Restart)
	}
	each := max(1, int(math.Round(cmp.Or(t.Batch, 0.1)*float64(len(chosen)))))
	batches := (len(chosen) + each - 1) / each
	for i, k := range chosen {
		begin := at + Seconds(t.For*float64(i/each)/float64(batches))
		if err := d.claim(d.Sidecars[k].Name, begin, begin+restart+TermGrace); err != nil {
			return err
		}
		d.step(Step{At: begin, Do: Term, Sidecar: k})
		d.step(Step{At: begin + restart, Do: Start, Sidecar: k})
	}
	return nil
}

// TermGrace is how long a process that was told to end by SIGTERM has until SIGKILL (PROTOCOL: the longest deadline, at least 3 s,
// and 0.7 s).
const TermGrace = 3700 * time.Millisecond

func (d *drawer) links(t *Fault, at, end time.Duration) error {
	if t.On == "keepers" {
		return d.keeperLinks(t, at, end)
	}
	if t.On == "peers" {
		return d.peerLinks(t, at, end)
	}
	group := -1
	var nears []int
	if t.From != "" {
		for i, s := range d.Sidecars {
			if s.Zone == t.From || s.Name == t.From {
				nears, group = append(nears, i), s.Group
			}
		}
		if len(nears) == 0 {
			return fmt.Errorf("no sidecar is in %s", t.From)
		}
	}
	far := []string{""} // the list
	if t.On == "servers" {
		// Also those that come later: a link is between places. So they are chosen by zone alone, or by name.
		servers, err := d.servers(t, at, at)
		if err != nil {
			return err
		}
		far = nil
		for _, i := range servers {
			far = append(far, d.Servers[d.living[i].index].UID)
		}
	}
	effect := t.effect()
	for _, uid := range far {
		s := Step{At: at, Do: Link, Sidecar: ListIndex, Server: uid, Nears: nears, Group: group, Effect: effect, On: true}
		switch t.Do {
		case "reset", "half-open":
			if s.Do = Reset; t.Do == "half-open" {
				s.Do = Forget
			}
			d.step(s)
			continue
		}
		d.step(s)
		s.At, s.On = end, false
		d.step(s)
	}
	return nil
}

func (d *drawer) silent(at time.Duration, uid string, on bool) {
	if d.File.Keepers.Count > 0 {
		d.step(Step{At: at, Do: Silent, Server: uid, On: on})
	}
}

// effect is what a fault makes of a link.
func (t *Fault) effect() (e LinkEffect) {
	switch t.Do {
	case "delay":
		e.Delay, e.Jitter = Seconds(t.Size/1000), Seconds(t.Jitter/1000)
	case "silence":
		e.HoldFar, e.HoldNear = t.Way == "to-far", t.Way == "to-near"
	case "partition":
		e.HoldFar, e.HoldNear = true, true
	case "trickle":
		e.Rate = int(t.Size)
	case "loss":
		e.Loss = t.Size
	}
	return e
}

// keeperLinks draws a fault of the links of keepers, to their peers and their clients. Far is the keeper: "to-far" is what it
// hears, whoever called.
func (d *drawer) keeperLinks(t *Fault, at, end time.Duration) error {
	chosen, err := d.keepers(t)
	if err != nil {
		return err
	}
	for _, i := range chosen {
		s := Step{At: at, Do: Link, Sidecar: i, From: t.From, Effect: t.effect(), On: true}
		switch t.Do {
		case "reset":
			s.Do = Reset
		case "half-open":
			s.Do = Forget
		}
		d.step(s)
		if s.Do == Link {
			s.At, s.On = end, false
			d.step(s)
		}
	}
	return nil
}

// peerLinks draws a fault of the links between sidecars: of those chosen, to all others or to those of a zone. Far is who is
// chosen: "to-far" is what he hears, whoever called.
func (d *drawer) peerLinks(t *Fault, at, end time.Duration) error {
	var chosen []int
	for i, s := range d.Sidecars { // also who joins later: a link is between places
		if t.Zone == "" || s.Zone == t.Zone {
			chosen = append(chosen, i)
		}
	}
	chosen, err := choose(d.r, t, chosen, func(i int) string { return d.Sidecars[i].Name })
	if err != nil {
		return err
	}
	s := Step{At: at, Do: Link, Sidecar: ListIndex, Peers: true, Nears: chosen, From: t.From, Effect: t.effect(), On: true}
	switch t.Do {
	case "reset":
		s.Do = Reset
	case "half-open":
		s.Do = Forget
	}
	d.step(s)
	if s.Do == Link {
		s.At, s.On = end, false
		d.step(s)
	}
	return nil
}

func (d *drawer) tell(at time.Duration, uid, state string) {
	if d.File.Keepers.Count > 0 {
		return // servers tell the keepers by themselves
	}
	d.step(Step{At: at, Do: Tell, Sidecar: ListIndex, Server: uid, State: state})
}

func (d *drawer) late(v [2]float64) time.Duration { return Seconds(between(d.r, v)) }

// server draws what happens to the i-th of living.
func (d *drawer) server(t *Fault, i int, at, end time.Duration) error {
	uid := d.Servers[d.living[i].index].UID
	process := t.Do == "die" || t.Do == "lose" || t.Do == "flap"
	what := "server " + uid + "'s speed"
	if process {
		what = "server " + uid
	}
	list := d.File.List
	switch t.Do {
	case "clock":
		d.step(Step{At: at, Do: Clock, Server: uid, By: Seconds(t.Size)})
		return nil
	case "die":
		end = forever
		if t.Restart != nil {
			end = at + Seconds(*t.Restart)
		}
	}
	if err := d.claim(what, at, end); err != nil {
		return err
	}
	trouble := func(at time.Duration, v model.Trouble) { d.step(Step{At: at, Do: Trouble, Server: uid, Trouble: v}) }
	switch t.Do {
	case "slow":
		trouble(at, model.Trouble{Slow: t.Size})
		trouble(end, model.Trouble{})
	case "hang":
		trouble(at, model.Trouble{Hang: true})
		trouble(end, model.Trouble{})
	case "steal":
		every := cmp.Or(Seconds(t.Every), end-at)
		for on := at; on < end; on += 2 * every {
			trouble(on, model.Trouble{Stolen: t.Size})
			trouble(min(on+every, end), model.Trouble{})
		}
	case "die":
		d.step(Step{At: at, Do: Die, Server: uid})
		if t.Restart == nil {
			d.living[i].to = at
			d.tell(at+d.late(list.NoticeS), uid, "DELETED")
			return nil
		}
		d.step(Step{At: end, Do: Revive, Server: uid})
		d.tell(end+d.late(list.AddS), uid, "SERVING")
	case "flap":
		every := Seconds(t.Every)
		for off := at; off < end; off += 2 * every {
			on := min(off+every, end)
			d.step(Step{At: off, Do: Die, Server: uid})
			d.step(Step{At: on, Do: Revive, Server: uid})
			d.tell(on+d.late(list.AddS), uid, "SERVING")
		}
	case "lose":
		all := LinkEffect{HoldFar: true, HoldNear: true}
		d.step(Step{At: at, Do: Link, Server: uid, Effect: all, On: true, Group: -1})
		d.silent(at, uid, true)
		gone := at + d.late(list.SilentS)
		if gone < end {
			d.tell(gone, uid, "DELETED")
		}
		d.silent(end, uid, false)
		d.step(Step{At: end, Do: Revive, Server: uid})
		d.step(Step{At: end, Do: Link, Server: uid, Effect: all, Group: -1})
		d.tell(end+d.late(list.AddS), uid, "SERVING")
	}
	return nil
}

// deploy replaces servers batch by batch, evenly over the time.
func (d *drawer) deploy(t *Fault, at time.Duration) error {
	chosen, err := d.servers(t, at, Seconds(t.At+t.For))
	if err != nil {
		return err
	}
	drain := cmp.Or(t.Drain, 4)
	batch := cmp.Or(t.Batch, 0.1)
	each := max(1, int(math.Round(batch*float64(d.Standing))))
	batches := (len(chosen) + each - 1) / each
	room := t.For - drain
	if room < 0 {
		return fmt.Errorf("the drain of %v s does not fit into %v s", drain, t.For)
	}
	for b := range batches {
		begin := at
		if batches > 1 {
			begin += Seconds(room * float64(b) / float64(batches-1))
		}
		over := begin + Seconds(drain)
		for _, i := range chosen[b*each : min((b+1)*each, len(chosen))] {
			old := d.Servers[d.living[i].index]
			if err := d.claim("server "+old.UID, begin, forever); err != nil {
				return err
			}
			d.living[i].to = begin
			told := begin + d.late(d.File.List.NoticeS)
			d.step(Step{At: begin, Do: Drain, Server: old.UID})
			d.tell(told, old.UID, "DRAINING")
			d.step(Step{At: over, Do: Remove, Server: old.UID})
			d.tell(max(told, over+d.late(d.File.List.NoticeS)), old.UID, "DELETED")
			next := len(d.Servers)
			kind := slices.IndexFunc(d.File.Kinds, func(k Kind) bool { return k.Name == old.Kind })
			d.Servers = append(d.Servers, d.spec(next, old.Zone, kind))
			d.living = append(d.living, life{next, over, forever})
			d.step(Step{At: over, Do: Add, Server: d.Servers[next].UID})
			d.tell(over+d.late(d.File.List.AddS), d.Servers[next].UID, "SERVING")
		}
	}
	return nil
}
