package config

import (
	"maps"
	"slices"
)

// Amend merges an amendment into base, which it does not change, and validates the merged configuration. Replaced items keep their
// position, new ones follow, and unknown fields are preserved. Removing an item that does not exist is not an error. An item that is
// both removed and upserted is replaced. Every error matches ErrInvalid.
func Amend(base *Config, raw []byte) (*Config, error) { return amend(base, raw, newDecoder()) }

// AmendAccepted is like Amend, but tolerates shared keys as ParseAccepted does.
func AmendAccepted(base *Config, raw []byte) (*Config, error) {
	return amend(base, raw, newDecoderForAccepted())
}

func amend(base *Config, raw []byte, decoder *itemDecoder) (*Config, error) {
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
	merge := amendment{base: base, decoder: decoder, next: &Config{Limits: base.Limits}}
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

// amendment holds the state of merging an amendment into base.
type amendment struct {
	base, next     *Config
	decoder        *itemDecoder
	revision       []byte
	upsert, remove []member
}

// readGroup returns the lists under upsert or remove.
func (a *amendment) readGroup(f member) ([]member, error) {
	if f.isNull {
		return nil, nil
	}
	return members(f.value, f.key)
}

// findMember returns the member named key, or nil if it is absent or null.
func findMember(all []member, key string) *member {
	for i := range all {
		if all[i].key == key && !all[i].isNull {
			return &all[i]
		}
	}
	return nil
}

// merge returns the configuration that consists of the top-level fields of base with the amendment's changes.
func (a *amendment) merge() (*Config, error) {
	fields, err := members(a.base.Raw, "the configuration")
	if err != nil {
		return nil, err
	}
	fields = a.withNewLists(fields)
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

// withNewLists appends to fields the lists that the amendment names and base lacks, in the amendment's order.
func (a *amendment) withNewLists(fields []member) []member {
	addMissing := func(list member) {
		if !list.isNull && !slices.ContainsFunc(fields, func(f member) bool { return f.key == list.key }) {
			fields = append(fields, member{key: list.key, rawKey: list.rawKey, value: []byte("[]")})
		}
	}
	for _, list := range a.upsert {
		addMissing(list)
	}
	for _, list := range a.remove {
		if list.key != "tenants" { // see appendTenants
			addMissing(list)
		}
	}
	return fields
}

// encodedBytes returns a lower bound of the encoded size of an object with these members.
func encodedBytes(all []member) int {
	n := 2
	for _, f := range all {
		n += len(f.rawKey) + len(f.value) + 2
	}
	return n
}

// listChange is the change that an amendment makes to one top-level field of base.
type listChange struct {
	field           member
	upsert, removal *member // nil: none
}

func (c listChange) isEmpty() bool { return c.upsert == nil && c.removal == nil }

// appendField appends the value of one top-level field.
func (a *amendment) appendField(out []byte, field member) ([]byte, error) {
	change := listChange{field: field, upsert: findMember(a.upsert, field.key), removal: findMember(a.remove, field.key)}
	switch field.key {
	case "revision":
		if !change.isEmpty() {
			return nil, invalid("revision is no list: send it at the top of the amendment")
		}
		return append(out, a.revision...), nil
	case "limits":
		return a.appendLimits(out, change)
	case "routes":
		return a.appendRoutes(out, change)
	case "services":
		return a.appendServices(out, change)
	case "tenants":
		return a.appendTenants(out, change)
	}
	return a.appendUnknownList(out, change)
}

func (a *amendment) appendLimits(out []byte, change listChange) ([]byte, error) {
	if change.removal != nil {
		return nil, invalid("limits cannot be removed: send others under upsert")
	}
	if change.upsert == nil {
		return append(out, change.field.value...), nil
	}
	var err error
	a.next.Limits, err = a.decoder.limits(change.upsert.value)
	return append(out, change.upsert.value...), err
}

func (a *amendment) appendUnknownList(out []byte, change listChange) ([]byte, error) {
	if change.isEmpty() {
		return append(out, change.field.value...), nil
	}
	merged, err := a.mergeList(change, func(raw []byte) (string, error) {
		_, name, err := a.decoder.namedObject(raw, "member of "+change.field.key)
		return name, err
	})
	if err != nil {
		return nil, err
	}
	return merged.appendJSON(out), nil
}

func (a *amendment) appendRoutes(out []byte, change listChange) ([]byte, error) {
	if change.isEmpty() {
		a.next.Routes = a.base.Routes
		return append(out, change.field.value...), nil
	}
	merged, routes, err := mergeItems(a, change, a.base.Routes, func(r *Route) string { return r.Name }, a.decoder.route)
	if err != nil {
		return nil, err
	}
	a.next.Routes = routes
	return merged.appendJSON(out), nil
}

// appendTenants appends the tenants. A removal from a configuration without the list does not add the list, since its presence means
// that requests need keys.
func (a *amendment) appendTenants(out []byte, change listChange) ([]byte, error) {
	if change.isEmpty() || !a.base.HasTenants && change.upsert == nil {
		a.next.Tenants, a.next.HasTenants, a.next.tenantOfKey = a.base.Tenants, a.base.HasTenants, a.base.tenantOfKey
		return append(out, change.field.value...), nil
	}
	if change.field.isNull {
		change.field.value = []byte("[]")
	}
	merged, tenants, err := mergeItems(a, change, a.base.Tenants, func(t *Tenant) string { return t.Name }, a.decoder.tenant)
	if err != nil {
		return nil, err
	}
	a.next.Tenants, a.next.HasTenants = tenants, true
	if err := a.next.indexTenants(a.decoder.allowsSharedKeys); err != nil {
		return nil, err
	}
	return merged.appendJSON(out), nil
}

// mergeItems merges a change into a list whose items are already decoded in base. It returns the list and its items: those decoded
// from the amendment, and otherwise those of base.
func mergeItems[T any](a *amendment, change listChange, base []*T, nameOf func(*T) string, decode func([]byte) (*T, error)) (
	*namedList, []*T, error) {
	baseNames, current := make([]string, len(base)), make(map[string]*T, len(base))
	for i, item := range base {
		baseNames[i] = nameOf(item)
		current[baseNames[i]] = item
	}
	merged, err := a.mergeList(change, itemNamer(baseNames, func(raw []byte) (string, error) {
		item, err := decode(raw)
		if err != nil {
			return "", err
		}
		current[nameOf(item)] = item
		return nameOf(item), nil
	}))
	if err != nil {
		return nil, nil, err
	}
	items := make([]*T, 0, len(merged.names)-merged.removed)
	for i, name := range merged.names {
		if merged.items[i] != nil {
			items = append(items, current[name])
		}
	}
	return merged, items, nil
}

func (a *amendment) appendServices(out []byte, change listChange) ([]byte, error) {
	if change.isEmpty() {
		a.next.Services, a.next.serviceNames = a.base.Services, a.base.serviceNames
		return append(out, change.field.value...), nil
	}
	services := maps.Clone(a.base.Services)
	merged, err := a.mergeList(change, itemNamer(a.base.serviceNames, func(raw []byte) (string, error) {
		service, err := a.decoder.service(raw)
		if err != nil {
			return "", err
		}
		services[service.Name] = service
		return service.Name, nil
	}))
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

// itemNamer returns a function for mergeList: base's items come first and are already decoded, so their names are
// known; decode is called only for the items of the amendment.
func itemNamer(baseNames []string, decode func([]byte) (string, error)) func([]byte) (string, error) {
	return func(raw []byte) (string, error) {
		if len(baseNames) > 0 {
			name := baseNames[0]
			baseNames = baseNames[1:]
			return name, nil
		}
		return decode(raw)
	}
}

// mergeList splits a list of base into its items, removes items and upserts the amendment's items. nameOf is called for the items
// of base in order, then for those of the amendment.
func (a *amendment) mergeList(change listChange, nameOf func([]byte) (string, error)) (*namedList, error) {
	merged := &namedList{indexOf: map[string]int{}}
	err := a.decoder.forEachItem(change.field, func(raw []byte) error {
		name, err := nameOf(raw)
		if err == nil {
			merged.add(name, raw)
		}
		return err
	})
	if err == nil && change.removal != nil {
		err = a.decoder.forEachItem(*change.removal, func(raw []byte) error {
			name, err := unquote(raw)
			if err != nil {
				return invalid("remove of %s holds something that is no name: send names in quotes", change.field.key)
			}
			merged.remove(name)
			return nil
		})
	}
	if err != nil || change.upsert == nil {
		return merged, err
	}
	sent := map[string]bool{}
	err = a.decoder.forEachItem(*change.upsert, func(raw []byte) error {
		name, err := nameOf(raw)
		if err != nil {
			return err
		}
		if sent[name] {
			return invalid("upsert of %s has %q twice: leave one", change.field.key, name)
		}
		sent[name] = true
		merged.upsert(name, raw)
		return nil
	})
	return merged, err
}
