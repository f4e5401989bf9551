package config

// namedList is a top-level list of named items during the merge of an amendment. A removed item is nil.
type namedList struct {
	names   []string
	items   [][]byte
	indexOf map[string]int // by name
	removed int            // number of items that are nil
}

func (l *namedList) add(name string, raw []byte) {
	l.indexOf[name] = len(l.names)
	l.names, l.items = append(l.names, name), append(l.items, raw)
}

// remove removes the item named name; its position is kept for an item of that name that is upserted later.
func (l *namedList) remove(name string) {
	if i, ok := l.indexOf[name]; ok && l.items[i] != nil {
		l.items[i] = nil
		l.removed++
	}
}

// upsert replaces the item named name at its position, or adds it at the end if there is none.
func (l *namedList) upsert(name string, raw []byte) {
	i, ok := l.indexOf[name]
	if !ok {
		l.add(name, raw)
		return
	}
	if l.items[i] == nil {
		l.removed--
	}
	l.items[i] = raw
}

// appendJSON appends the items that were not removed, as a JSON array.
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
