package config

import (
	"maps"
	"slices"
)

// list is one top-level list of named items while an amendment is merged into it.
type list struct {
	names []string
	items [][]byte
	place map[string]int // index by name
}

// Amend merges an amendment into base, which it leaves as it was, and checks the result as a whole. Items replaced stay at
// their place, new ones follow, fields that are not known are kept. Removing what is not there is no error. What is
// removed and added under one name is replaced. Every error is an ErrInvalid.
func Amend(base *Config, raw []byte) (*Config, error) {
	if base == nil {
		return nil, invalid("there is no configuration to amend: send Config.Replace first")
	}
	if err := validate(raw); err != nil {
		return nil, err
	}
	fields, err := members(raw, "the amendment")
	if err != nil {
		return nil, err
	}
	a := amendment{base: base, d: newDecoder(), next: &Config{Limits: base.Limits}}
	for _, f := range fields {
		switch f.key {
		case "revision":
			a.revision = f.value
			a.next.Revision, err = a.d.revision(f.value)
		case "upsert":
			a.upsert, err = a.group(f)
		case "remove":
			a.remove, err = a.group(f)
		default:
			_, err = a.d.parse(f.value, f.key)
		}
		if err != nil {
			return nil, err
		}
	}
	if a.revision == nil {
		return nil, invalid("revision is missing: number the amendment")
	}
	if a.next.Revision <= base.Revision {
		return nil, invalid("revision %d is not above the current %d: send a higher one", a.next.Revision, base.Revision)
	}
	return a.merge()
}

type amendment struct {
	base, next     *Config
	d              *decoder
	revision       []byte
	upsert, remove []member
}

func (a *amendment) group(f member) ([]member, error) {
	if f.isNull {
		return nil, nil
	}
	return members(f.value, f.key)
}

func find(all []member, key string) *member {
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
	out := make([]byte, 0, len(a.base.Raw)+amendedBytes(a.upsert))
	out = append(out, '{')
	for i, f := range fields {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(append(out, f.rawKey...), ':')
		if out, err = a.field(out, f); err != nil {
			return nil, err
		}
	}
	a.next.Raw = slices.Clip(append(out, '}'))
	if err := a.next.finish(); err != nil {
		return nil, err
	}
	return a.next, nil
}

func amendedBytes(all []member) int {
	n := 2
	for _, f := range all {
		n += len(f.rawKey) + len(f.value) + 2
	}
	return n
}

// field appends the value of one top-level field.
func (a *amendment) field(out []byte, f member) ([]byte, error) {
	up, gone := find(a.upsert, f.key), find(a.remove, f.key)
	switch {
	case f.key == "revision":
		if up != nil || gone != nil {
			return nil, invalid("revision is no list: send it at the top of the amendment")
		}
		return append(out, a.revision...), nil
	case f.key == "limits":
		if gone != nil {
			return nil, invalid("limits cannot be removed: send others under upsert")
		}
		if up == nil {
			return append(out, f.value...), nil
		}
		var err error
		a.next.Limits, err = a.d.limits(up.value)
		return append(out, up.value...), err
	}
	isRoutes, isServices := f.key == "routes", f.key == "services"
	if up == nil && gone == nil {
		if isRoutes {
			a.next.Routes = a.base.Routes
		} else if isServices {
			a.next.Services, a.next.serviceNames = a.base.Services, a.base.serviceNames
		}
		return append(out, f.value...), nil
	}
	switch {
	case isRoutes:
		return a.routes(out, f, up, gone)
	case isServices:
		return a.services(out, f, up, gone)
	}
	l, _, err := a.change(f, up, gone, func(raw []byte) (string, error) {
		_, name, err := a.d.named(raw, "member of "+f.key)
		return name, err
	})
	if err != nil {
		return nil, err
	}
	return l.write(out), nil
}

func (a *amendment) routes(out []byte, f member, up, gone *member) ([]byte, error) {
	fresh := map[string]*Route{}
	at := 0
	l, removed, err := a.change(f, up, gone, func(raw []byte) (string, error) {
		if at < len(a.base.Routes) {
			at++
			return a.base.Routes[at-1].Name, nil
		}
		r, err := a.d.route(raw)
		if err != nil {
			return "", err
		}
		fresh[r.Name] = r
		return r.Name, nil
	})
	if err != nil {
		return nil, err
	}
	old := make(map[string]*Route, len(a.base.Routes))
	for _, r := range a.base.Routes {
		old[r.Name] = r
	}
	a.next.Routes = make([]*Route, 0, len(l.names)-removed)
	for i, name := range l.names {
		if l.items[i] == nil {
			continue
		}
		r := fresh[name]
		if r == nil {
			r = old[name]
		}
		a.next.Routes = append(a.next.Routes, r)
	}
	return l.write(out), nil
}

func (a *amendment) services(out []byte, f member, up, gone *member) ([]byte, error) {
	services := maps.Clone(a.base.Services)
	at := 0
	l, _, err := a.change(f, up, gone, func(raw []byte) (string, error) {
		if at < len(a.base.serviceNames) {
			at++
			return a.base.serviceNames[at-1], nil
		}
		s, err := a.d.service(raw)
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
	for i, name := range l.names {
		if l.items[i] == nil {
			delete(services, name)
		} else {
			a.next.serviceNames = append(a.next.serviceNames, name)
		}
	}
	return l.write(out), nil
}

// change splits a list of base, and puts the amendment's items in their places. nameOf is called for the items of base in
// order, then for those of the amendment. An item taken out is nil.
func (a *amendment) change(f member, up, gone *member, nameOf func([]byte) (string, error)) (*list, int, error) {
	l := &list{place: map[string]int{}}
	add := func(raw []byte) error {
		name, err := nameOf(raw)
		if err == nil {
			l.place[name] = len(l.names)
			l.names, l.items = append(l.names, name), append(l.items, raw)
		}
		return err
	}
	if err := a.d.list(f, add); err != nil {
		return nil, 0, err
	}
	removed := 0
	if gone != nil {
		err := a.d.list(*gone, func(raw []byte) error {
			name, err := unquote(raw)
			if err != nil {
				return err
			}
			if i, ok := l.place[name]; ok && l.items[i] != nil {
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
	err := a.d.list(*up, func(raw []byte) error {
		name, err := nameOf(raw)
		if err != nil {
			return err
		}
		if sent[name] {
			return invalid("upsert of %s has %q twice: leave one", f.key, name)
		}
		sent[name] = true
		i, ok := l.place[name]
		if !ok {
			l.place[name] = len(l.names)
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

// write appends the list as JSON.
func (l *list) write(out []byte) []byte {
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
