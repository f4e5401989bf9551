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

// Copies of states merge to the same in any order and with repeats, and none seems younger than it is by more than the
// quickest way.
func TestStatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type arrival struct {
			f  frame
			at time.Duration
		}
		clocks := map[process]time.Duration{}
		quickest := map[process]time.Duration{}
		var all []arrival
		for range rapid.IntRange(1, 30).Draw(t, "copies") {
			p := process{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Int64Range(1, 2).Draw(t, "start")}
			if _, known := clocks[p]; !known {
				clocks[p] = time.Duration(rapid.Int64Range(-3600, 3600).Draw(t, "clock")) * time.Second
				quickest[p] = math.MaxInt64
			}
			seq := rapid.Uint64Range(1, 6).Draw(t, "seq")
			told := time.Duration(seq) * time.Second // by the own clock
			way := time.Duration(rapid.IntRange(0, 5000).Draw(t, "way")) * time.Millisecond
			held := time.Duration(rapid.IntRange(0, 3000).Draw(t, "held")) * time.Millisecond
			quickest[p] = min(quickest[p], way)
			f := frame{name: p.name, start: p.start, kind: uint8(seq % 2), seq: seq, madeAt: told + clocks[p], forwardedAge: held, payload: []byte{byte(seq)}}
			all = append(all, arrival{f, told + way + held})
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
			age, truly := once.age(f, now), now-(f.madeAt-clocks[p])
			least := truly - quickest[p] - time.Duration(2*maxClockDrift*float64(now))
			if age < least || age > truly+time.Duration(2*maxClockDrift*float64(now)) {
				t.Fatalf("%+v seems %v old, is %v, quickest way %v", f, age, truly, quickest[p])
			}
		}
	})
}

// The invariants of epochs, over drawn changes of sets, losses, repeats and orders.
func TestEpochsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members = 5
		all := make([]epochs, members)
		sets := make([]uint32, members)
		calls := map[uint64]uint32{} // what an epoch stands for
		last := make([]uint64, members)
		var air []claim
		look := func(i int, changed bool) {
			e := all[i].own.epoch()
			if e < last[i] || changed && e == last[i] {
				t.Fatalf("member %d: epoch %x after %x", i, e, last[i])
			}
			if set, known := calls[e]; known && set != sets[i] {
				t.Fatalf("epoch %x stands for %d and %d", e, set, sets[i])
			}
			calls[e], last[i] = sets[i], e
			if len(all[i].claims) > maxClaims {
				t.Fatal("unbounded")
			}
		}
		become := func(i int, set uint32) {
			changed := set != sets[i]
			sets[i] = set
			if all[i].adoptSet(set) {
				air = append(air, all[i].own)
			}
			look(i, changed)
		}
		for i := range all {
			sets[i] = 999
			become(i, uint32(1000+i)) // each alone
		}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, members-1).Draw(t, "member")
			if rapid.Bool().Draw(t, "change") {
				become(i, rapid.Uint32Range(1, 64).Draw(t, "set"))
			} else { // from the air, where it stays: repeats and any order
				if all[i].receiveClaim(air[rapid.IntRange(0, len(air)-1).Draw(t, "claim")]) && rapid.Bool().Draw(t, "kept") {
					air = append(air, all[i].own)
				}
				look(i, false)
			}
		}
		for i := range all {
			become(i, 7) // sets rest
		}
		// What was said goes round, and comes to rest.
		passed := 0
		for moving := true; moving; {
			moving = false
			for i := range all {
				for _, c := range air {
					if all[i].receiveClaim(c) {
						moving = true
						if passed++; passed > members*(len(air)+1) {
							t.Fatal("claims go round for ever")
						}
					}
				}
			}
		}
		var most uint32
		for range 2 { // each hears what all hold: the exchange
			for i := range all {
				for j := range all {
					for _, c := range all[j].storedClaims() {
						all[i].receiveClaim(c)
					}
				}
				look(i, false)
			}
		}
		for i := range all {
			most = max(most, all[i].own.count)
			if all[i].own != all[0].own {
				t.Fatalf("%v and %v after all were heard", all[i].own, all[0].own)
			}
		}
		if most > uint32(members+80+members) {
			t.Fatalf("count %d for %d changes at most", most, members+80+members)
		}
	})
}

// checkDecodedUpdate checks that an update that was decoded from b is within the bounds, decodes again to the same, and does not
// decode from a truncated frame.
func checkDecodedUpdate(t *testing.T, b []byte, update frame) {
	t.Helper()
	if len(update.payload) > MaxPayloadBytes || len(update.name) > MaxNameBytes || update.kind >= MaxKinds || update.madeAt < 0 {
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

// What is read is what was written, and nothing else is read.
func FuzzFrames(f *testing.F) {
	seed := frame{name: "a", kind: 1, start: 5, seq: 300, madeAt: time.Second, forwardedAge: 1500 * time.Microsecond, payload: []byte("xyz")}
	f.Add(seed.encode())
	f.Add(claim{7, 9}.encode())
	f.Add(process{"a", 5}.encode())
	f.Add(pack([][]byte{seed.encode(), claim{7, 9}.encode()}))
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
		if p, err := decodeFarewell(b); err == nil && !bytes.Equal(p.encode(), b) {
			t.Fatal(p)
		}
		total := 0
		if unpack(b, func(f []byte) { total += 2 + len(f) }) == nil && total != len(b) {
			t.Fatalf("%d of %d bytes", total, len(b))
		}
	})
}
