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
func (c *settingsReader) flatten(path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for key, inner := range typed {
			c.flatten(strings.TrimPrefix(path+"."+key, "."), inner)
		}
	case []any:
		c.values[path+".count"] = strconv.Itoa(len(typed))
		for i, inner := range typed {
			c.flatten(path+"."+strconv.Itoa(i), inner)
			// Kept apart rather than joined: a name may hold a comma.
			c.lists[path] = append(c.lists[path], fmt.Sprint(inner))
		}
	case nil: // as if absent
	default:
		c.values[path] = fmt.Sprint(typed)
	}
}

func (c *settingsReader) fail(key, want string) {
	if c.err == nil {
		c.err = fmt.Errorf("setting %s is %q, want %s", key, c.values[key], want)
	}
}

// required fails for a required key that is missing.
func (c *settingsReader) required(key string) string {
	v, ok := c.values[key]
	if !ok && c.err == nil {
		c.err = fmt.Errorf("setting %s is missing", key)
	}
	return v
}

func (c *settingsReader) float(key string) float64 {
	v, ok := c.values[key]
	if !ok || v == "-" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e12 {
		c.fail(key, "a number")
		return 0
	}
	return f
}

func (c *settingsReader) integer(key string) int {
	f := c.float(key)
	if f != math.Trunc(f) || math.Abs(f) > math.MaxInt32 {
		c.fail(key, "a whole number")
	}
	return int(f)
}

func (c *settingsReader) duration(key string) time.Duration { return seconds(c.float(key)) }

// positiveDuration is a duration that cannot be negative.
func (c *settingsReader) positiveDuration(key string) time.Duration {
	d := c.duration(key)
	if d < 0 {
		c.fail(key, "a number from 0 up")
	}
	return d
}

func (c *settingsReader) boolean(key string) bool {
	switch c.values[key] {
	case "true", "1":
		return true
	case "", "-", "false", "0":
	default:
		c.fail(key, "true or false")
	}
	return false
}

func (c *settingsReader) list(key string) []string {
	if v := c.values[key]; v != "" && v != "-" {
		return strings.Split(v, ",")
	}
	return c.lists[key]
}

// chooseWord maps a word to its meaning.
func chooseWord[T any](c *settingsReader, key string, words map[string]T) T {
	v, ok := words[c.values[key]]
	if !ok {
		c.fail(key, "one of the known words")
	}
	return v
}

// maxListed bounds the length of a settings list that a line may claim.
const maxListed = 4096

func (c *settingsReader) count(key string) int {
	n := c.integer(key)
	if n < 0 || n > maxListed {
		c.fail(key, "a small count")
		return 0
	}
	return n
}
