package config

// namedList is one top-level namedList of named items while an amendment is merged into it.
type namedList struct {
	names   []string
	items   [][]byte
	indexOf map[string]int // index by name
}

// appendJSON appends the list as JSON.
func (l *namedList) appendJSON(out []byte) []byte {
	out = append(out, '[')
	first := true
	for _, raw := range l.items {
		if raw == nil {
			continue
		}
		if !first {
			out = append(out, ',')
		}
		first = false
		out = append(out, raw...)
	}
	return append(out, ']')
}
