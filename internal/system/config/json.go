package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// maxDepth limits the nesting of a body, so that parsing needs a bounded stack.
const maxDepth = 64

// validateJSON returns an error unless raw is one complete JSON value in UTF-8 that is nested at most maxDepth deep. It checks the
// depth first, so that the parser's recursion is bounded.
func validateJSON(raw []byte) error {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i) - 1
		case '{', '[':
			if depth++; depth > maxDepth {
				return invalid("the body nests deeper than %d: flatten it", maxDepth)
			}
		case '}', ']':
			depth--
		}
	}
	if !utf8.Valid(raw) {
		return invalid("the body is not UTF-8: encode it so")
	}
	if fastjson.ValidateBytes(raw) != nil {
		return syntaxError(raw)
	}
	return nil
}

// syntaxError returns an error with the position at which raw is not valid JSON. It does not quote the text there, which may be an API
// key.
func syntaxError(raw []byte) error {
	var syntax *json.SyntaxError
	if err := json.Unmarshal(raw, new(json.RawMessage)); errors.As(err, &syntax) {
		return invalid("the body is not one whole JSON value: %v, at byte %d: mend it there", syntax, syntax.Offset)
	}
	return invalid("the body is not one whole JSON value: check its texts and numbers")
}

// stringEnd returns the index after the string that starts at i, or len(raw) if the string is unterminated.
func stringEnd(raw []byte, i int) int {
	for j := i + 1; j < len(raw); {
		n := bytes.IndexByte(raw[j:], '"')
		if n < 0 {
			return len(raw)
		}
		end := j + n
		slashes := 0
		for k := end - 1; k > i && raw[k] == '\\'; k-- {
			slashes++
		}
		j = end + 1
		if slashes%2 == 0 {
			return j
		}
	}
	return len(raw)
}

// skipSpace returns the index of the first byte at or after i that is not white space.
func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// valueEnd returns the index after the value that begins at start of a valid body.
func valueEnd(raw []byte, start int) int {
	if start >= len(raw) {
		return len(raw)
	}
	switch raw[start] {
	case '"':
		return stringEnd(raw, start)
	case '{', '[':
		return compositeEnd(raw, start)
	}
	end := start
	for end < len(raw) && bytes.IndexByte([]byte(",]} \n\t\r"), raw[end]) < 0 {
		end++
	}
	return end
}

// compositeEnd returns the index after the object or array that begins at start.
func compositeEnd(raw []byte, start int) int {
	depth := 0
	for i := start; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
	}
	return len(raw)
}

// forEachElement calls visit with each element of raw, which must be valid JSON. It returns false if raw is not an array.
func forEachElement(raw []byte, visit func(value []byte) error) (bool, error) {
	position := skipSpace(raw, 0)
	if position >= len(raw) || raw[position] != '[' {
		return false, nil
	}
	for position = skipSpace(raw, position+1); position < len(raw) && raw[position] != ']'; {
		end := valueEnd(raw, position)
		if err := visit(raw[position:end]); err != nil {
			return true, err
		}
		position = skipComma(raw, end)
	}
	return true, nil
}

// member is one name/value pair of an object.
type member struct {
	key    string
	rawKey []byte // with its quotes
	value  []byte
	isNull bool
}

// members returns the members of raw, which must be valid JSON, in order. A duplicate name is an error.
func members(raw []byte, what string) ([]member, error) {
	position := skipSpace(raw, 0)
	if position >= len(raw) || raw[position] != '{' {
		return nil, invalid("%s is no object: send {...}", what)
	}
	var all []member
	seen := map[string]bool{}
	for position = skipSpace(raw, position+1); position < len(raw) && raw[position] != '}'; {
		next, end, err := memberAt(raw, position, what)
		if err != nil {
			return nil, err
		}
		if seen[next.key] {
			return nil, invalid("%s has %q twice: leave one", what, next.key)
		}
		seen[next.key] = true
		all = append(all, next)
		position = skipComma(raw, end)
	}
	return all, nil
}

// memberAt reads the member that begins at position, and returns the index after it.
func memberAt(raw []byte, position int, what string) (found member, end int, err error) {
	keyEnd := valueEnd(raw, position)
	key, err := unquote(raw[position:keyEnd])
	if err != nil {
		return member{}, 0, err
	}
	colon := skipSpace(raw, keyEnd)
	start := skipSpace(raw, colon+1)
	end = valueEnd(raw, start)
	if start > end {
		return member{}, 0, invalid("%s is cut short: send it whole", what)
	}
	value := raw[start:end]
	return member{key: key, rawKey: raw[position:keyEnd], value: value, isNull: string(value) == "null"}, end, nil
}

// skipComma returns the index of the next element or member after the one that ends at i.
func skipComma(raw []byte, i int) int {
	i = skipSpace(raw, i)
	if i < len(raw) && raw[i] == ',' {
		i = skipSpace(raw, i+1)
	}
	return i
}

// unquote returns the text of a valid JSON string.
func unquote(raw []byte) (string, error) {
	if len(raw) >= 2 && raw[0] == '"' && bytes.IndexByte(raw, '\\') < 0 {
		return string(raw[1 : len(raw)-1]), nil
	}
	v, err := fastjson.ParseBytes(raw)
	if err != nil || v.Type() != fastjson.TypeString {
		return "", invalid("a name is no string: quote it")
	}
	return string(v.GetStringBytes()), nil
}

// rejectDuplicateKeys returns an error if an object inside v has a duplicate name: which of the values applies is undefined (RFC 8259,
// section 4). The error names only members of v itself: text that is nested deeper may be an API key.
func rejectDuplicateKeys(v *fastjson.Value, what string) error {
	object, err := v.Object()
	if err != nil {
		if hasDuplicateKeys(v) {
			return invalid("%s has an object with a name twice: leave one", what)
		}
		return nil
	}
	if key, ok := duplicateKey(object); ok {
		return invalid("%s has %q twice: leave one", what, key)
	}
	var duplicate error
	object.Visit(func(key []byte, value *fastjson.Value) {
		if duplicate == nil && hasDuplicateKeys(value) {
			duplicate = invalid("%s has an object with a name twice in %q: leave one", what, key)
		}
	})
	return duplicate
}

// hasDuplicateKeys reports whether v is or contains an object with a duplicate name.
func hasDuplicateKeys(v *fastjson.Value) bool {
	switch v.Type() {
	case fastjson.TypeArray:
		return slices.ContainsFunc(v.GetArray(), hasDuplicateKeys)
	case fastjson.TypeObject:
		object := v.GetObject()
		_, found := duplicateKey(object)
		object.Visit(func(_ []byte, value *fastjson.Value) { found = found || hasDuplicateKeys(value) })
		return found
	}
	return false
}

// duplicateKey returns the first duplicate name of object.
func duplicateKey(object *fastjson.Object) (duplicate string, found bool) {
	var keys keySet
	if object.Len() > len(keys.few) {
		keys.many = make(map[string]bool, object.Len())
	}
	object.Visit(func(key []byte, _ *fastjson.Value) {
		if !found && !keys.add(key) {
			duplicate, found = string(key), true
		}
	})
	return duplicate, found
}

// keySet is a set of an object's names. Most objects have few names and need no map.
type keySet struct {
	few   [24][]byte
	count int             // of few
	many  map[string]bool // used instead of few if not nil
}

// add adds key, and returns false if the set already contains it.
func (s *keySet) add(key []byte) bool {
	if s.many != nil {
		if s.many[string(key)] {
			return false
		}
		s.many[string(key)] = true
		return true
	}
	for _, known := range s.few[:s.count] {
		if bytes.Equal(known, key) {
			return false
		}
	}
	s.few[s.count] = key
	s.count++
	return true
}
