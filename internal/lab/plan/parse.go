package plan

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Error says what is wrong with an experiment file, and where.
type Error struct {
	File string // path
	Line int    // from 1; 0: the error is of the file as a whole
	What string // in one line
}

// Error implements error: the file, the line where there is one, and what is wrong.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.What)
	}
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.What)
}

// LoadFile reads an experiment file. Its errors are of type *Error, with the line where there is one.
func LoadFile(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{path, 0, err.Error()}
	}
	return Parse(path, text)
}

// Parse reads the text of an experiment file. Its errors are of type *Error.
func Parse(path string, text []byte) (*File, error) {
	file := Defaults()
	file.text, file.Path = text, path
	name := path[strings.LastIndexByte(path, '/')+1:]
	file.Name = strings.TrimSuffix(name, ".toml")
	meta, err := toml.NewDecoder(bytes.NewReader(text)).Decode(&file)
	if err != nil {
		line := 0
		what := err.Error()
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			line, what = parseError.Position.Line, cmp.Or(parseError.Message, what)
		}
		return nil, &Error{path, line, strings.ReplaceAll(what, "\n", " ")} // the library quotes the text as it stands
	}
	// The library counts what is deep in a map as not decoded.
	if extra := slices.DeleteFunc(meta.Undecoded(), func(k toml.Key) bool { return k[0] == "config" }); len(extra) > 0 {
		return nil, &Error{path, file.lineOf(extra[0][:len(extra[0])-1], -1, extra[0][len(extra[0])-1]), fmt.Sprintf("unknown key %q", extra[0])}
	}
	// Defaults has neither kinds nor classes, as the library would append to them.
	if len(file.Kinds) == 0 {
		file.Kinds = slices.Clone(defaultKinds)
	}
	if len(file.Classes) == 0 {
		file.Classes = slices.Clone(defaultClasses)
	}
	if err := file.check(); err != nil {
		return nil, err
	}
	return &file, nil
}

// lineOf is the line of a key in the index-th table of its path, or in any where index is negative. Where the table has no such key, it is the line of
// the table's header; 0: there is no such table.
func (f *File) lineOf(path []string, index int, key string) int {
	table, seen, here := strings.Join(path, "."), -1, len(path) == 0
	header := 0
	for number, line := range strings.Split(string(f.text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			name := strings.Trim(strings.TrimSpace(strings.SplitN(line, "#", 2)[0]), "[] ")
			here = false
			if name == table {
				seen++
				if here = index < 0 || seen == index; here {
					header = number + 1
				}
			}
			continue
		}
		if word, _, ok := strings.Cut(line, "="); here && ok && strings.Trim(strings.TrimSpace(word), `"`) == key {
			return number + 1
		}
	}
	return header
}

// errorAt is an error at a key: of the index-th table of a name, from 0, or of any where the index is negative.
func (f *File) errorAt(table string, index int, key, form string, args ...any) *Error {
	var path []string
	if table != "" {
		path = []string{table}
	}
	return &Error{File: f.Path, Line: f.lineOf(path, index, key), What: fmt.Sprintf(form, args...)}
}
