package config

import (
	"bytes"
	"unicode/utf8"

	"github.com/valyala/fastjson"
)

// maxDepth bounds the nesting of a body, so that reading it needs a bounded stack.
const maxDepth = 64

// validateJSON fails unless raw is one whole JSON value in UTF-8 that nests at most maxDepth deep.
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

func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// valueEnd returns the index behind the value that begins at i of a valid body.
func valueEnd(raw []byte, i int) int {
	if i >= len(raw) {
		return len(raw)
	}
	switch raw[i] {
	case '"':
		return stringEnd(raw, i)
	case '{', '[':
		for depth := 0; i < len(raw); i++ {
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
	for i < len(raw) && bytes.IndexByte([]byte(",]} \n\t\r"), raw[i]) < 0 {
		i++
	}
	return i
}

// forEachElement calls f with each element of raw, a valid array; false where raw is no array.
func forEachElement(raw []byte, f func(value []byte) error) (bool, error) {
	i := skipSpace(raw, 0)
	if i >= len(raw) || raw[i] != '[' {
		return false, nil
	}
	for i = skipSpace(raw, i+1); i < len(raw) && raw[i] != ']'; {
		end := valueEnd(raw, i)
		if err := f(raw[i:end]); err != nil {
			return true, err
		}
		if i = skipSpace(raw, end); i < len(raw) && raw[i] == ',' {
			i = skipSpace(raw, i+1)
		}
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
	i := skipSpace(raw, 0)
	if i >= len(raw) || raw[i] != '{' {
		return nil, invalid("%s is no object: send {...}", what)
	}
	var all []member
	seen := map[string]bool{}
	for i = skipSpace(raw, i+1); i < len(raw) && raw[i] != '}'; {
		keyEnd := valueEnd(raw, i)
		key, err := unquote(raw[i:keyEnd])
		if err != nil {
			return nil, err
		}
		if seen[key] {
			return nil, invalid("%s has %q twice: leave one", what, key)
		}
		seen[key] = true
		start := skipSpace(raw, keyEnd)
		start = skipSpace(raw, start+1) // the colon
		end := valueEnd(raw, start)
		if start > end {
			return nil, invalid("%s is cut short: send it whole", what)
		}
		value := raw[start:end]
		all = append(all, member{key: key, rawKey: raw[i:keyEnd], value: value, isNull: string(value) == "null"})
		if i = skipSpace(raw, end); i < len(raw) && raw[i] == ',' {
			i = skipSpace(raw, i+1)
		}
	}
	return all, nil
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

// rejectDuplicateKeys fails where an object inside v has a name twice: which one counts would be anyone's guess.
func rejectDuplicateKeys(v *fastjson.Value, what string) error {
	switch v.Type() {
	case fastjson.TypeArray:
		for _, e := range v.GetArray() {
			if err := rejectDuplicateKeys(e, what); err != nil {
				return err
			}
		}
	case fastjson.TypeObject:
		o := v.GetObject()
		var few [24][]byte
		keys, many := few[:0], map[string]bool(nil)
		if o.Len() > len(few) {
			many = make(map[string]bool, o.Len())
		}
		var err error
		o.Visit(func(key []byte, e *fastjson.Value) {
			if err != nil {
				return
			}
			if many != nil {
				if many[string(key)] {
					err = invalid("%s has %q twice: leave one", what, key)
					return
				}
				many[string(key)] = true
			} else {
				for _, k := range keys {
					if bytes.Equal(k, key) {
						err = invalid("%s has %q twice: leave one", what, key)
						return
					}
				}
				keys = append(keys, key)
			}
			err = rejectDuplicateKeys(e, what)
		})
		return err
	}
	return nil
}
