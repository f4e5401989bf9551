package config

import (
	"bytes"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// maxDepth bounds the nesting of a body, so that reading it needs a bounded stack.
const maxDepth = 64

// validateJSON fails unless raw is one complete JSON value in UTF-8 that nests at most maxDepth deep. It checks the depth first, so
// that the parser's recursion is bounded.
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
	if err := fastjson.ValidateBytes(raw); err != nil {
		return invalid("the body is not one whole JSON value: %v", err)
	}
	return nil
}

// stringEnd returns the index behind the string that opens at i, or len(raw) where it does not end.
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

// skipSpace returns the index of the first byte from i on that is no white space.
func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// valueEnd returns the index behind the value that begins at start of a valid body.
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

// compositeEnd returns the index behind the object or array that begins at start.
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

// forEachElement calls visit with each element of raw, a valid array; false where raw is no array.
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

// member is one name and value of an object.
type member struct {
	key    string
	rawKey []byte // with its quotes
	value  []byte
	isNull bool
}

// members returns the members of raw, a valid object, in order. A name that comes twice is an error.
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

// memberAt reads the member that begins at position, and returns the index behind it.
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

// skipComma returns the index of the next element or member behind the one that ends at i.
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
		return "", invalid("%s is no string: quote it", raw)
	}
	return string(v.GetStringBytes()), nil
}

// rejectDuplicateKeys fails where an object inside v has a name twice: which of the values counts is not defined (RFC 8259, 4).
func rejectDuplicateKeys(v *fastjson.Value, what string) error {
	switch v.Type() {
	case fastjson.TypeArray:
		for _, element := range v.GetArray() {
			if err := rejectDuplicateKeys(element, what); err != nil {
				return err
			}
		}
	case fastjson.TypeObject:
		return rejectDuplicateKeysOf(v.GetObject(), what)
	}
	return nil
}

func rejectDuplicateKeysOf(object *fastjson.Object, what string) error {
	var keys keySet
	if object.Len() > len(keys.few) {
		keys.many = make(map[string]bool, object.Len())
	}
	var err error
	object.Visit(func(key []byte, value *fastjson.Value) {
		if err != nil {
			return
		}
		if !keys.add(key) {
			err = invalid("%s has %q twice: leave one", what, key)
			return
		}
		err = rejectDuplicateKeys(value, what)
	})
	return err
}

// keySet is a set of an object's names. Most objects have few, which need no map.
type keySet struct {
	few   [24][]byte
	count int             // of few
	many  map[string]bool // in place of few where it is not nil
}

// add returns false where key is in the set already.
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
