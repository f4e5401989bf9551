package members

import (
	"bytes"
	"maps"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStatesMergeInAnyOrder: copies of states merge to the same in any order and with duplicates, and no age is too low by more than the
// shortest time that a copy spent in the network.
func TestStatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type arrival struct {
			f  frame
			at time.Duration
		}
		clocks := map[process]time.Duration{}
		shortest := map[process]time.Duration{}
		var all []arrival
		for range rapid.IntRange(1, 30).Draw(t, "copies") {
			p := process{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Int64Range(1, 2).Draw(t, "start")}
			if _, known := clocks[p]; !known {
				clocks[p] = time.Duration(rapid.Int64Range(-3600, 3600).Draw(t, "clock")) * time.Second
				shortest[p] = math.MaxInt64
			}
			seq := rapid.Uint64Range(1, 6).Draw(t, "seq")
			published := time.Duration(seq) * time.Second // by the own clock
			inNetwork := time.Duration(rapid.IntRange(0, 5000).Draw(t, "way")) * time.Millisecond
			forwarded := time.Duration(rapid.IntRange(0, 3000).Draw(t, "held")) * time.Millisecond
			shortest[p] = min(shortest[p], inNetwork)
			f := frame{name: p.name, start: p.start, kind: uint8(seq % 2), seq: seq, publishedAt: published + clocks[p], forwardedAge: forwarded, payload: []byte{byte(seq)}}
			all = append(all, arrival{f, published + inNetwork + forwarded})
		}
		merge := func(order []arrival) *states {
			s := newStates()
			for _, a := range order {
				s.merge(a.f, a.at)
			}
			return s
		}
		once, again := merge(all), merge(rapid.Permutation(append(all, all...)).Draw(t, "order"))
		if !reflect.DeepEqual(once.latest, again.latest) || !maps.EqualFunc(once.offsets, again.offsets, func(x, y *float64) bool { return *x == *y }) {
			t.Fatalf("%+v\n%+v", once, again)
		}
		now := 20 * time.Second
		for _, f := range once.latest {
			p := process{f.name, f.start}
			age, trueAge := once.age(f, now), now-(f.publishedAt-clocks[p])
			minAge := trueAge - shortest[p] - time.Duration(2*maxClockDrift*float64(now))
			if age < minAge || age > trueAge+time.Duration(2*maxClockDrift*float64(now)) {
				t.Fatalf("%+v seems %v old, is %v, shortest time in the network %v", f, age, trueAge, shortest[p])
			}
		}
	})
}

// epochModel is some members' epochs, and the claims that travel between them.
type epochModel struct {
	t          *rapid.T
	members    []epochs
	sets       []uint32          // the set that each member sees
	setByEpoch map[uint64]uint32 // what an epoch stands for
	lastEpochs []uint64
	claims     []claim // all that were sent: each may arrive again, in any order
}

// checkMember checks that a member's epoch did not go down, rose if its set changed, and stands for one set.
func (m *epochModel) checkMember(i int, changed bool) {
	epoch := m.members[i].own.epoch()
	if epoch < m.lastEpochs[i] || changed && epoch == m.lastEpochs[i] {
		m.t.Fatalf("member %d: epoch %x after %x", i, epoch, m.lastEpochs[i])
	}
	if set, known := m.setByEpoch[epoch]; known && set != m.sets[i] {
		m.t.Fatalf("epoch %x stands for %d and %d", epoch, set, m.sets[i])
	}
	m.setByEpoch[epoch], m.lastEpochs[i] = m.sets[i], epoch
	if len(m.members[i].claims) > maxClaims {
		m.t.Fatal("unbounded")
	}
}

// changeSet has a member see a set.
func (m *epochModel) changeSet(i int, set uint32) {
	changed := set != m.sets[i]
	m.sets[i] = set
	if m.members[i].adoptSet(set) {
		m.claims = append(m.claims, m.members[i].own)
	}
	m.checkMember(i, changed)
}

// step has a drawn member see a drawn set, or receive a drawn claim.
func (m *epochModel) step() {
	i := rapid.IntRange(0, len(m.members)-1).Draw(m.t, "member")
	if rapid.Bool().Draw(m.t, "change") {
		m.changeSet(i, rapid.Uint32Range(1, 64).Draw(m.t, "set"))
		return
	}
	received := m.claims[rapid.IntRange(0, len(m.claims)-1).Draw(m.t, "claim")]
	if m.members[i].receiveClaim(received) && rapid.Bool().Draw(m.t, "kept") {
		m.claims = append(m.claims, m.members[i].own)
	}
	m.checkMember(i, false)
}

// deliverAll delivers all claims to all members until none is new, which has to come to an end.
func (m *epochModel) deliverAll() {
	forwarded := 0
	for moving := true; moving; {
		moving = false
		for i := range m.members {
			for _, c := range m.claims {
				if !m.members[i].receiveClaim(c) {
					continue
				}
				moving = true
				if forwarded++; forwarded > len(m.members)*(len(m.claims)+1) {
					m.t.Fatal("claims go round for ever")
				}
			}
		}
	}
}

// exchangeAll has each member receive what all have stored.
func (m *epochModel) exchangeAll() {
	for i := range m.members {
		for j := range m.members {
			for _, c := range m.members[j].storedClaims() {
				m.members[i].receiveClaim(c)
			}
		}
		m.checkMember(i, false)
	}
}

// checkAgreement checks that all have the same claim, with a count that so many changes can have caused.
func (m *epochModel) checkAgreement(maxChanges int) {
	var highest uint32
	for i := range m.members {
		highest = max(highest, m.members[i].own.count)
		if m.members[i].own != m.members[0].own {
			m.t.Fatalf("%v and %v after all were received", m.members[i].own, m.members[0].own)
		}
	}
	if highest > uint32(maxChanges) {
		m.t.Fatalf("count %d for %d changes at most", highest, maxChanges)
	}
}

// TestEpochsAgree checks the invariants of epochs over drawn changes of sets, losses, duplicates and orders.
func TestEpochsAgree(t *testing.T) {
	const members, maxSteps = 5, 80
	rapid.Check(t, func(t *rapid.T) {
		model := &epochModel{t: t, members: make([]epochs, members), sets: make([]uint32, members), setByEpoch: map[uint64]uint32{},
			lastEpochs: make([]uint64, members)}
		for i := range members {
			model.sets[i] = 999
			model.changeSet(i, uint32(1000+i)) // each alone
		}
		for range rapid.IntRange(0, maxSteps).Draw(t, "steps") {
			model.step()
		}
		for i := range members {
			model.changeSet(i, 7) // the sets change no more
		}
		model.deliverAll()
		model.exchangeAll()
		model.exchangeAll()
		model.checkAgreement(members + maxSteps + members)
	})
}

// checkDecodedUpdate checks that an update that was decoded from b is within the bounds, decodes again to the same, and does not
// decode from a truncated frame.
func checkDecodedUpdate(t *testing.T, b []byte, update frame) {
	t.Helper()
	if len(update.payload) > MaxPayloadBytes || len(update.name) > MaxNameBytes || update.kind >= MaxKinds || update.publishedAt < 0 {
		t.Fatalf("%+v", update)
	}
	again, err := decodeUpdate(update.encode())
	if err != nil || !reflect.DeepEqual(update, again) {
		t.Fatalf("%+v then %+v, %v", update, again, err)
	}
	if _, err := decodeUpdate(b[:len(b)-1]); err == nil {
		t.Fatal("a truncated frame is decoded")
	}
}

// FuzzFrames: what is decoded is what was encoded, and nothing else is decoded.
func FuzzFrames(f *testing.F) {
	seed := frame{name: "a", kind: 1, start: 5, seq: 300, publishedAt: time.Second, forwardedAge: 1500 * time.Microsecond, payload: []byte("xyz")}
	f.Add(seed.encode())
	f.Add(claim{7, 9}.encode())
	f.Add(process{"a", 5}.encodeFarewell())
	f.Add(packed(seed.encode(), claim{7, 9}.encode()))
	if old := withAge(seed.encode(), 2*time.Second); len(old) != len(seed.encode()) {
		f.Fatal("an age changes the length")
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if update, err := decodeUpdate(b); err == nil {
			checkDecodedUpdate(t, b, update)
		}
		if c, err := decodeClaim(b); err == nil && !bytes.Equal(c.encode(), b) {
			t.Fatal(c)
		}
		if p, err := decodeFarewell(b); err == nil && !bytes.Equal(p.encodeFarewell(), b) {
			t.Fatal(p)
		}
		total := 0
		if unpack(b, func(f []byte) { total += 2 + len(f) }) == nil && total != len(b) {
			t.Fatalf("%d of %d bytes", total, len(b))
		}
	})
}
