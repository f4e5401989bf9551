package config

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// maxDuration limits durations, so that sums of them do not overflow.
const maxDuration = 365 * 24 * time.Hour

// objectReader reads the fields of one JSON object and keeps the first error.
type objectReader struct {
	decoder *itemDecoder
	value   *fastjson.Value
	label   string
	err     error
}

// object decodes one JSON object; what names it in errors.
func (d *itemDecoder) object(raw []byte, what string) (*objectReader, error) {
	v, err := d.parse(raw, what)
	if err != nil {
		return nil, err
	}
	if v.Type() != fastjson.TypeObject {
		return nil, invalid("%s is no object: send {...}", what)
	}
	return &objectReader{decoder: d, value: v, label: what}, nil
}

// namedObject decodes an object that must have a name, and also returns the name.
func (d *itemDecoder) namedObject(raw []byte, kind string) (*objectReader, string, error) {
	object, err := d.object(raw, "a "+kind)
	if err != nil {
		return nil, "", err
	}
	name := object.stringField("name", true)
	object.label = kind + ` "` + name + `"`
	return object, name, object.err
}

// fail records an error unless one is already recorded.
func (r *objectReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = invalid("%s: %s", r.label, fmt.Sprintf(format, args...))
	}
}

// get returns a field, or nil if it is absent or null.
func (r *objectReader) get(key string) *fastjson.Value {
	v := r.value.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// stringField returns a string. If needed is true, it must be present and not empty.
func (r *objectReader) stringField(key string, needed bool) string {
	v := r.get(key)
	if v == nil {
		if needed {
			r.fail("%s is missing: add it", key)
		}
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		r.fail("%s is no string: quote it", key)
		return ""
	}
	if needed && len(b) == 0 {
		r.fail("%s is empty: fill it", key)
	}
	return r.decoder.intern(b)
}

// listField returns the elements of a list, or none if the field is missing.
func (r *objectReader) listField(key string) []*fastjson.Value {
	v := r.get(key)
	if v == nil {
		return nil
	}
	if v.Type() != fastjson.TypeArray {
		r.fail("%s is no list: send [...]", key)
	}
	return v.GetArray()
}

// boolField returns a boolean, or false if the field is missing.
func (r *objectReader) boolField(key string) bool {
	v := r.get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		r.fail("%s is neither true nor false: send one of them", key)
	}
	return b
}

// nonNegativeNumber returns a finite number that is 0 or more, or absent if the field is missing.
func (r *objectReader) nonNegativeNumber(key string, absent float64) float64 {
	v := r.get(key)
	if v == nil {
		return absent
	}
	f, err := v.Float64()
	switch {
	case v.Type() != fastjson.TypeNumber || err != nil || math.IsInf(f, 0) || math.IsNaN(f):
		r.fail("%s is no number that can be read: send a number without quotes", key)
		return 0
	case f < 0:
		r.fail("%s is %g: send 0 or more", key, f)
		return 0
	}
	return f
}

// integerField returns a number without its fraction, at most maximum.
func (r *objectReader) integerField(key string, maximum int64) int64 {
	return int64(math.Min(r.nonNegativeNumber(key, 0), float64(maximum)))
}

// durationField returns a duration given as a multiple of unit, at most maxDuration, or absent if the field is missing. It is rounded
// up to whole nanoseconds, so a number above 0 never becomes 0.
func (r *objectReader) durationField(key string, unit, absent time.Duration) time.Duration {
	f := r.nonNegativeNumber(key, -1)
	if f < 0 {
		return absent
	}
	return time.Duration(math.Ceil(math.Min(f*float64(unit), float64(maxDuration))))
}
