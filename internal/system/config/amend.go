package config

import (
	"maps"
	"slices"
)

// Amend merges an amendment into base, which it leaves as it was, and checks the result as a whole. Items replaced stay at
// their place, new ones follow, fields that are not known are kept. Removing what is not there is no error. What is
// removed and added under one name is replaced. Every error is an ErrInvalid.
func Amend(base *Config, raw []byte) (*Config, error) {
	if base == nil {
		return nil, invalid("there is no configuration to amend: send Config.Replace first")
	}
	if err := validateJSON(raw); err != nil {
		return nil, err
	}
	fields, err := members(raw, "the amendment")
	if err != nil {
		return nil, err
	}
	merge := amendment{base: base, decoder: newDecoder(), next: &Config{Limits: base.Limits}}
	for _, field := range fields {
		switch field.key {
		case "revision":
			merge.revision = field.value
			merge.next.Revision, err = merge.decoder.revision(field.value)
		case "upsert":
			merge.upsert, err = merge.readGroup(field)
		case "remove":
			merge.remove, err = merge.readGroup(field)
		default:
			_, err = merge.decoder.parse(field.value, field.key)
		}
		if err != nil {
			return nil, err
		}
	}
	if merge.revision == nil {
		return nil, invalid("revision is missing: number the amendment")
	}
	if merge.next.Revision <= base.Revision {
		return nil, invalid("revision %d is not above the current %d: send a higher one", merge.next.Revision, base.Revision)
	}
	return merge.merge()
}

type amendment struct {
	base, next     *Config
	decoder        *itemDecoder
	revision       []byte
	upsert, remove []member
}

func (a *amendment) readGroup(f member) ([]member, error) {
	if f.isNull {
		return nil, nil
	}
	return members(f.value, f.key)
}

func findMember(all []member, key string) *member {
	for i := range all {
		if all[i].key == key && !all[i].isNull {
			return &all[i]
		}
	}
	return nil
}

// merge writes the top-level fields of base again, those named in the amendment changed.
func (a *amendment) merge() (*Config, error) {
	fields, err := members(a.base.Raw, "the configuration")
	if err != nil {
		return nil, err
	}
	// What the amendment names and base lacks comes at the end, in the amendment's order.
	for _, group := range [][]member{a.upsert, a.remove} {
		for _, u := range group {
			if !u.isNull && !slices.ContainsFunc(fields, func(f member) bool { return f.key == u.key }) {
				fields = append(fields, member{key: u.key, rawKey: u.rawKey, value: []byte("[]")})
			}
		}
	}
	out := make([]byte, 0, len(a.base.Raw)+encodedBytes(a.upsert))
	out = append(out, '{')
	for i, f := range fields {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(append(out, f.rawKey...), ':')
		if out, err = a.appendField(out, f); err != nil {
			return nil, err
		}
	}
	a.next.Raw = slices.Clip(append(out, '}'))
	if err := a.next.checkReferences(); err != nil {
		return nil, err
	}
	return a.next, nil
}

func encodedBytes(all []member) int {
	n := 2
	for _, f := range all {
		n += len(f.rawKey) + len(f.value) + 2
	}
	return n
}

// appendField appends the value of one top-level appendField.
func (a *amendment) appendField(out []byte, field member) ([]byte, error) {
	upsert, removed := findMember(a.upsert, field.key), findMember(a.remove, field.key)
	switch {
	case field.key == "revision":
		if upsert != nil || removed != nil {
			return nil, invalid("revision is no list: send it at the top of the amendment")
		}
		return append(out, a.revision...), nil
	case field.key == "limits":
		if removed != nil {
			return nil, invalid("limits cannot be removed: send others under upsert")
		}
		if upsert == nil {
			return append(out, field.value...), nil
		}
		var err error
		a.next.Limits, err = a.decoder.limits(upsert.value)
		return append(out, upsert.value...), err
	}
	isRoutes, isServices := field.key == "routes", field.key == "services"
	if upsert == nil && removed == nil {
		if isRoutes {
			a.next.Routes = a.base.Routes
		} else if isServices {
			a.next.Services, a.next.serviceNames = a.base.Services, a.base.serviceNames
		}
		return append(out, field.value...), nil
	}
	switch {
	case isRoutes:
		return a.appendRoutes(out, field, upsert, removed)
	case isServices:
		return a.appendServices(out, field, upsert, removed)
	}
	l, _, err := a.mergeList(field, upsert, removed, func(raw []byte) (string, error) {
		_, name, err := a.decoder.namedObject(raw, "member of "+field.key)
		return name, err
	})
	if err != nil {
		return nil, err
	}
	return l.appendJSON(out), nil
}

func (a *amendment) appendRoutes(out []byte, field member, upsert, removal *member) ([]byte, error) {
	decoded := map[string]*Route{}
	at := 0
	merged, removed, err := a.mergeList(field, upsert, removal, func(raw []byte) (string, error) {
		if at < len(a.base.Routes) {
			at++
			return a.base.Routes[at-1].Name, nil
		}
		r, err := a.decoder.route(raw)
		if err != nil {
			return "", err
		}
		decoded[r.Name] = r
		return r.Name, nil
	})
	if err != nil {
		return nil, err
	}
	old := make(map[string]*Route, len(a.base.Routes))
	for _, r := range a.base.Routes {
		old[r.Name] = r
	}
	a.next.Routes = make([]*Route, 0, len(merged.names)-removed)
	for i, name := range merged.names {
		if merged.items[i] == nil {
			continue
		}
		r := decoded[name]
		if r == nil {
			r = old[name]
		}
		a.next.Routes = append(a.next.Routes, r)
	}
	return merged.appendJSON(out), nil
}

func (a *amendment) appendServices(out []byte, field member, upsert, removal *member) ([]byte, error) {
	services := maps.Clone(a.base.Services)
	at := 0
	merged, _, err := a.mergeList(field, upsert, removal, func(raw []byte) (string, error) {
		if at < len(a.base.serviceNames) {
			at++
			return a.base.serviceNames[at-1], nil
		}
		s, err := a.decoder.service(raw)
		if err != nil {
			return "", err
		}
		services[s.Name] = s
		return s.Name, nil
	})
	if err != nil {
		return nil, err
	}
	a.next.Services = services
	for i, name := range merged.names {
		if merged.items[i] == nil {
			delete(services, name)
		} else {
			a.next.serviceNames = append(a.next.serviceNames, name)
		}
	}
	return merged.appendJSON(out), nil
}

// mergeList splits a list of base, and puts the amendment's items in their places. nameOf is called for the items of base in
// order, then for those of the amendment. An item taken out is nil.
func (a *amendment) mergeList(f member, up, gone *member, nameOf func([]byte) (string, error)) (*namedList, int, error) {
	l := &namedList{indexOf: map[string]int{}}
	add := func(raw []byte) error {
		name, err := nameOf(raw)
		if err == nil {
			l.indexOf[name] = len(l.names)
			l.names, l.items = append(l.names, name), append(l.items, raw)
		}
		return err
	}
	if err := a.decoder.forEachItem(f, add); err != nil {
		return nil, 0, err
	}
	removed := 0
	if gone != nil {
		err := a.decoder.forEachItem(*gone, func(raw []byte) error {
			name, err := unquote(raw)
			if err != nil {
				return err
			}
			if i, ok := l.indexOf[name]; ok && l.items[i] != nil {
				l.items[i] = nil
				removed++
			}
			return nil
		})
		if err != nil {
			return nil, 0, err
		}
	}
	if up == nil {
		return l, removed, nil
	}
	sent := map[string]bool{}
	err := a.decoder.forEachItem(*up, func(raw []byte) error {
		name, err := nameOf(raw)
		if err != nil {
			return err
		}
		if sent[name] {
			return invalid("upsert of %s has %q twice: leave one", f.key, name)
		}
		sent[name] = true
		i, ok := l.indexOf[name]
		if !ok {
			l.indexOf[name] = len(l.names)
			l.names, l.items = append(l.names, name), append(l.items, raw)
			return nil
		}
		if l.items[i] == nil {
			removed--
		}
		l.items[i] = raw
		return nil
	})
	return l, removed, err
}
