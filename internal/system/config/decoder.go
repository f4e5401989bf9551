package config

import (
	"math"

	"github.com/valyala/fastjson"
)

// maxExactInteger is the largest integer up to which a float64 has each.
const maxExactInteger = 1 << 53

// itemDecoder decodes items with one parser, so that the JSON of one item is all that is in memory at a time.
type itemDecoder struct {
	parser fastjson.Parser
	names  map[string]string // one copy of each text, however many items have it

	allowsSharedKeys bool // a key that tenants share is nobody's, and no error
}

func newDecoder() *itemDecoder { return &itemDecoder{names: map[string]string{}} }

// newDecoderOfAccepted is newDecoder for what was accepted before.
func newDecoderOfAccepted() *itemDecoder {
	decoder := newDecoder()
	decoder.allowsSharedKeys = true
	return decoder
}

// parse decodes one JSON value without duplicate names. The value is valid until the next call.
func (d *itemDecoder) parse(raw []byte, what string) (*fastjson.Value, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil {
		return nil, invalid("%s cannot be read: check its texts and numbers", what)
	}
	return v, rejectDuplicateKeys(v, what)
}

// intern returns b as a string, shared with equal ones.
func (d *itemDecoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

// forEachItem calls visit with the JSON of each element of a list.
func (d *itemDecoder) forEachItem(f member, item func([]byte) error) error {
	ok, err := forEachElement(f.value, item)
	if !ok {
		return invalid("%s is no list: send [...]", f.key)
	}
	return err
}

// revision decodes an integer above 0. It may be written with a fraction or exponent, such as 3.0.
func (d *itemDecoder) revision(raw []byte) (int64, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil || v.Type() != fastjson.TypeNumber {
		return 0, invalid("revision is no number: send a whole number above 0")
	}
	number, err := v.Int64()
	if err != nil { // it may be written as 3.0 or 1e3
		float := v.GetFloat64()
		number = int64(float)
		isExact := float64(number) == float && math.Abs(float) <= maxExactInteger
		if !isExact {
			return 0, invalid("revision %s is no whole number: send one above 0", raw)
		}
	}
	if number <= 0 {
		return 0, invalid("revision %d is not above 0: send a higher one", number)
	}
	return number, nil
}
