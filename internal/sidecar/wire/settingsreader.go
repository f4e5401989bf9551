package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// settingsReader gives typed access to settings by their keys, as "limits.try_limit". The methods return the zero value for a key that is
// missing or a value that is malformed; the first malformed value is kept in err.
type settingsReader struct {
	values map[string]string
	lists  map[string][]string // from JSON, where the items of a list are not joined to one value
	err    error
}

// flatten stores a JSON value under the key that the text wire has for it.
func (r *settingsReader) flatten(path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, inner := range typed {
			r.flatten(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		r.values[path+".count"] = strconv.Itoa(len(typed))
		for i, inner := range typed {
			r.flatten(path+"."+strconv.Itoa(i), inner)
			// The items are not joined by commas, as on the text wire: a name may contain one.
			r.lists[path] = append(r.lists[path], fmt.Sprint(inner))
		}
	case nil: // as if absent
	default:
		r.values[path] = fmt.Sprint(typed)
	}
}

// fail records that the value of a key is not what was wanted, unless an earlier one has failed.
func (r *settingsReader) fail(key, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s is %q, want %s", key, r.values[key], want)
	}
}

// required returns the value of a key that must be present.
func (r *settingsReader) required(key string) string {
	v, ok := r.values[key]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

// float returns a number of at most maxNumber in absolute value.
func (r *settingsReader) float(key string) float64 {
	v, ok := r.values[key]
	if !ok || v == "-" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > maxNumber {
		r.fail(key, "a number")
		return 0
	}
	return f
}

// integer returns a whole number of at most 2^31-1 in absolute value.
func (r *settingsReader) integer(key string) int {
	f := r.float(key)
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		r.fail(key, "a whole number")
	}
	return int(f)
}

// duration returns a time that is given in seconds.
func (r *settingsReader) duration(key string) time.Duration { return seconds(r.float(key)) }

// positiveDuration is duration for a time that must not be negative.
func (r *settingsReader) positiveDuration(key string) time.Duration {
	d := r.duration(key)
	if d < 0 {
		r.fail(key, "a number from 0 up")
	}
	return d
}

// boolean returns a truth value, as JSON or the text wire spells it.
func (r *settingsReader) boolean(key string) bool {
	switch r.values[key] {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		r.fail(key, "true or false")
	}
	return false
}

// list returns the items of a list.
func (r *settingsReader) list(key string) []string {
	if v := r.values[key]; v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return r.lists[key]
}

// enumValue returns what the word that is the value of a key stands for.
func enumValue[T any](r *settingsReader, key string, words map[string]T) T {
	v, ok := words[r.values[key]]
	if !ok {
		r.fail(key, "one of the known words")
	}
	return v
}

// maxListLength is the longest list that the settings may announce by its length.
const maxListLength = 4096

// count returns the length of a list whose items have keys of their own.
func (r *settingsReader) count(key string) int {
	n := r.integer(key)
	if n < 0 || n > maxListLength {
		r.fail(key, "a small count")
		return 0
	}
	return n
}
