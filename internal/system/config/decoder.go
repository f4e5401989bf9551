package config

import (
	"math"

	"github.com/valyala/fastjson"
)

// itemDecoder reads items with one parser, so that memory for the JSON of one item is all that it takes.
type itemDecoder struct {
	parser fastjson.Parser
	names  map[string]string // each text once, however many items hold it
}

func newDecoder() *itemDecoder { return &itemDecoder{names: map[string]string{}} }

func (d *itemDecoder) parse(raw []byte, what string) (*fastjson.Value, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil {
		return nil, invalid("%s cannot be read: %v", what, err)
	}
	return v, rejectDuplicateKeys(v, what)
}

func (d *itemDecoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

func (d *itemDecoder) forEachItem(f member, item func([]byte) error) error {
	ok, err := forEachElement(f.value, item)
	if !ok {
		return invalid("%s is no list: send [...]", f.key)
	}
	return err
}

// revision reads a whole number above 0.
func (d *itemDecoder) revision(raw []byte) (int64, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil || v.Type() != fastjson.TypeNumber {
		return 0, invalid("revision is no number: send a whole number above 0")
	}
	n, err := v.Int64()
	if err != nil {
		f := v.GetFloat64()
		if n = int64(f); float64(n) != f || math.Abs(f) > 1<<53 {
			return 0, invalid("revision %s is no whole number: send one above 0", raw)
		}
	}
	if n <= 0 {
		return 0, invalid("revision %d is not above 0: send a higher one", n)
	}
	return n, nil
}
