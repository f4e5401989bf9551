package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// settingsReader is the settings as values by their paths. The first malformed value is kept in fault.
type settingsReader struct {
	values map[string]string
	lists  map[string][]string // lists of plain values, where they come unjoined
	err    error
}

// flatten stores a JSON value under its path, as the text wire spells it.
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
			// Kept apart rather than joined: a name may hold a comma.
			r.lists[path] = append(r.lists[path], fmt.Sprint(inner))
		}
	case nil: // as if absent
	default:
		r.values[path] = fmt.Sprint(typed)
	}
}

func (r *settingsReader) fail(key, want string) {
	if r.err == nil {
		r.err = fmt.Errorf("setting %s is %q, want %s", key, r.values[key], want)
	}
}

// required fails for a required key that is missing.
func (r *settingsReader) required(key string) string {
	v, ok := r.values[key]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (r *settingsReader) float(key string) float64 {
	v, ok := r.values[key]
	if !ok || v == "-" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e12 {
		r.fail(key, "a number")
		return 0
	}
	return f
}

func (r *settingsReader) integer(key string) int {
	f := r.float(key)
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		r.fail(key, "a whole number")
	}
	return int(f)
}

func (r *settingsReader) duration(key string) time.Duration { return seconds(r.float(key)) }

// positiveDuration is a duration that cannot be negative.
func (r *settingsReader) positiveDuration(key string) time.Duration {
	d := r.duration(key)
	if d < 0 {
		r.fail(key, "a number from 0 up")
	}
	return d
}

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

func (r *settingsReader) list(key string) []string {
	if v := r.values[key]; v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return r.lists[key]
}

// enumValue maps a word to its meaning.
func enumValue[T any](r *settingsReader, key string, words map[string]T) T {
	v, ok := words[r.values[key]]
	if !ok {
		r.fail(key, "one of the known words")
	}
	return v
}

// maxListLength bounds the length of a settings list that a line may claim.
const maxListLength = 4096

func (r *settingsReader) count(key string) int {
	n := r.integer(key)
	if n < 0 || n > maxListLength {
		r.fail(key, "a small count")
		return 0
	}
	return n
}
