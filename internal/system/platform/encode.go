package platform

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEncoding is the kind of Decode's errors.
var ErrEncoding = errors.New("platform: bytes that are no list of this version")

// codecVersion is the first byte of an encoded list. Raise it with the layout.
const codecVersion = 1

// Encode writes a list in a compact binary form: strings that many servers share are written once.
func Encode(list []Instance) []byte {
	e := encoder{seen: map[string]uint64{}}
	e.out = make([]byte, 0, 16+64*len(list))
	e.out = append(e.out, codecVersion)
	e.uint(uint64(len(list)))
	for i := range list {
		in := &list[i]
		e.raw(in.ID)
		e.shared(in.Target)
		e.raw(in.Address)
		e.shared(in.Zone)
		e.uint(uint64(max(0, in.Slots)))
		e.uint(uint64(in.Phase))
		e.uint(uint64(max(0, in.ColdLeft) / time.Millisecond))
		// Rounded up, since 0 says that nothing was told.
		e.uint(uint64((max(0, in.Remaining) + time.Millisecond - 1) / time.Millisecond))
		e.shared(in.Revision)
		e.shared(in.Stage)
		e.uint(uint64(len(in.Models)))
		for _, m := range in.Models {
			e.shared(m.Name)
			e.out = binary.AppendVarint(e.out, m.Revision)
			e.uint(uint64(len(m.Adapters)))
			for _, a := range m.Adapters {
				e.shared(a)
			}
		}
	}
	return e.out
}

type encoder struct {
	out  []byte
	seen map[string]uint64
}

func (e *encoder) uint(v uint64) { e.out = binary.AppendUvarint(e.out, v) }

func (e *encoder) raw(s string) {
	e.uint(uint64(len(s)))
	e.out = append(e.out, s...)
}

// shared writes the number of a string that was written before, or 0 and the string, which takes the next number.
func (e *encoder) shared(s string) {
	if n, ok := e.seen[s]; ok {
		e.uint(n)
		return
	}
	e.seen[s] = uint64(len(e.seen) + 1)
	e.uint(0)
	e.raw(s)
}

// Decode reads what Encode wrote. Its errors are of the kind ErrEncoding; whatever the bytes, it takes no more memory
// than in proportion to them.
func Decode(data []byte) ([]Instance, error) {
	if len(data) == 0 || data[0] != codecVersion {
		return nil, errors.Mark(errors.New("the list is of another version: bring all processes to one version"), ErrEncoding)
	}
	d := decoder{in: data[1:]}
	n := d.count(11) // an instance takes that many bytes at least
	var list []Instance
	if n > 0 {
		list = make([]Instance, 0, n)
	}
	for range n {
		var i Instance
		i.ID, i.Target, i.Address, i.Zone = d.raw(), d.shared(), d.raw(), d.shared()
		i.Slots = int(min(d.uint(), 1<<31))
		i.Phase = Phase(min(d.uint(), 255))
		i.ColdLeft, i.Remaining = d.millis(), d.millis()
		i.Revision, i.Stage = d.shared(), d.shared()
		models := d.count(3)
		for range models {
			m := Model{Name: d.shared(), Revision: d.int()}
			for range d.count(1) {
				m.Adapters = append(m.Adapters, d.shared())
			}
			i.Models = append(i.Models, m)
		}
		if d.bad {
			break
		}
		list = append(list, i)
	}
	if d.bad || len(d.in) > 0 {
		return nil, errors.Mark(errors.New("the list is damaged: fetch it again"), ErrEncoding)
	}
	return list, nil
}

type decoder struct {
	in      []byte
	strings []string
	bad     bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.in)
	if n <= 0 {
		d.bad, d.in = true, nil
		return 0
	}
	d.in = d.in[n:]
	return v
}

func (d *decoder) int() int64 {
	v, n := binary.Varint(d.in)
	if n <= 0 {
		d.bad, d.in = true, nil
		return 0
	}
	d.in = d.in[n:]
	return v
}

func (d *decoder) millis() time.Duration {
	return time.Duration(min(d.uint(), uint64(365*24*time.Hour/time.Millisecond))) * time.Millisecond
}

// count reads how many items follow, each of which takes least bytes.
func (d *decoder) count(least uint64) uint64 {
	n := d.uint()
	if n > uint64(len(d.in))/least {
		d.bad, d.in = true, nil
		return 0
	}
	return n
}

func (d *decoder) raw() string {
	n := d.uint()
	if n > uint64(len(d.in)) {
		d.bad, d.in = true, nil
		return ""
	}
	s := string(d.in[:n])
	d.in = d.in[n:]
	return s
}

func (d *decoder) shared() string {
	n := d.uint()
	if n == 0 {
		if d.bad {
			return ""
		}
		s := d.raw()
		d.strings = append(d.strings, s)
		return s
	}
	if n > uint64(len(d.strings)) {
		d.bad, d.in = true, nil
		return ""
	}
	return d.strings[n-1]
}
