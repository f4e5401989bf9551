package config

import (
	"math"

	"github.com/valyala/fastjson"
)

// maxExactInteger is 2^53: a float64 represents every integer up to it exactly.
const maxExactInteger = 1 << 53

// itemDecoder decodes items with one parser, so that only the parsed JSON of one item is in memory at a time.
type itemDecoder struct {
	parser fastjson.Parser
	names  map[string]string // interned strings, which many items share

	allowsSharedKeys bool // a key that tenants share belongs to no tenant instead of being an error
}

func newDecoder() *itemDecoder { return &itemDecoder{names: map[string]string{}} }

// newDecoderForAccepted returns a decoder for configurations that were accepted before.
func newDecoderForAccepted() *itemDecoder {
	decoder := newDecoder()
	decoder.allowsSharedKeys = true
	return decoder
}

// parse decodes one JSON value and rejects duplicate names. The returned value is valid until the next call.
func (d *itemDecoder) parse(raw []byte, what string) (*fastjson.Value, error) {
	v, err := d.parser.ParseBytes(raw)
	if err != nil {
		return nil, invalid("%s cannot be read: check its texts and numbers", what)
	}
	return v, rejectDuplicateKeys(v, what)
}

// intern returns b as a string that equal values share.
func (d *itemDecoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	s := string(b)
	d.names[s] = s
	return s
}

// forEachItem calls item with the JSON of each element of a list.
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
