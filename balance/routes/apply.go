package routes

import (
	"errors"
	"fmt"
	"slices"
)

// place is a rule in a chain, and chain a table that is being changed: a ring that begins and ends at root, the rule "".
type place struct {
	rule       Rule
	prev, next *place
}

type chain struct {
	root *place
	at   map[string]*place
}

func link(t Table) chain {
	c := chain{root: &place{}, at: make(map[string]*place, len(t)+1)}
	c.root.prev, c.root.next, c.at[""] = c.root, c.root, c.root
	for _, r := range t {
		c.at[r.Name] = &place{rule: r}
		c.at[r.Name].join(c.root.prev)
	}
	return c
}

func (p *place) join(after *place) {
	p.prev, p.next = after, after.next
	after.next.prev, after.next = p, p
}

func (p *place) leave() { p.prev.next, p.next.prev = p.next, p.prev }

// do takes one step and returns the one that undoes it. After an error nothing has changed.
func (c chain) do(op Op) (back Op, err error) {
	p, after := c.at[op.Name], c.at[op.After]
	back = Op{Kind: op.Kind, Name: op.Name, Match: op.Match}
	switch {
	case op.Name == "" || p == nil && op.Kind != Add:
		return back, errors.New("there is no such rule")
	case op.Kind == Add && p != nil:
		return back, errors.New("there is a rule of this name")
	case op.Kind == Add && op.Rule.Name != op.Name:
		return back, fmt.Errorf("the rule to add is named %.60q", op.Rule.Name)
	case (op.Kind == Add || op.Kind == Move) && (after == nil || after == p):
		return back, fmt.Errorf("there is no place after %.60q", op.After)
	}
	switch op.Kind {
	case Drop:
		back = Op{Kind: Add, Name: op.Name, After: p.prev.rule.Name, Rule: p.rule}
		p.leave()
		delete(c.at, op.Name)
	case Add:
		back.Kind = Drop
		c.at[op.Name] = &place{rule: op.Rule}
		c.at[op.Name].join(after)
	case Move:
		back.After = p.prev.rule.Name
		p.leave()
		p.join(after)
	case Rematch:
		back.Source, back.Service = p.rule.Source, p.rule.Service
		p.rule.Source, p.rule.Service = op.Source, op.Service
	case Set, Unset:
		all, now := slices.Clone(p.rule.Destinations), Destination{op.Weight, op.Match, op.PerSize} // the old table keeps its own
		i := find(all, op.Match, 0)
		if back.Kind = Unset; i >= 0 {
			back.Kind, back.Weight, back.PerSize = Set, all[i].Weight, all[i].PerSize
		}
		switch {
		case i < 0 && op.Kind == Unset:
			return back, fmt.Errorf("it has no destination %v", op.Match)
		case i < 0:
			all = append(all, now)
		case op.Kind == Unset:
			all = slices.Delete(all, i, i+1)
		default:
			all[i] = now
		}
		p.rule.Destinations = all
	default:
		return back, errors.New("unknown op")
	}
	return back, nil
}

// run takes all steps, and returns what they lead to and what undoes them, in order.
func run(t Table, ops []Op) (after Table, undo []Op, err error) {
	c := link(t)
	for i, op := range ops {
		back, err := c.do(op)
		if err != nil {
			return nil, nil, fmt.Errorf("op %d, %.20s %.60q: %w", i, op.Kind, op.Name, err)
		}
		undo = append(undo, back)
	}
	after = make(Table, 0, len(c.at))
	for p := c.root.next; p != c.root; p = p.next {
		after = append(after, p.rule)
	}
	slices.Reverse(undo)
	return after, undo, nil
}

// Apply is the table that ops lead to. Between them it may be over the bounds; in the end it is one that Check passes, or
// there is an error that says what does not fit.
func Apply(t Table, ops []Op) (Table, error) {
	after, _, err := run(t, ops)
	if err != nil {
		return nil, err
	}
	if err := after.Check(); err != nil {
		return nil, err
	}
	return after, nil
}

// Invert is the ops that lead back from what ops make of a table, or what does not fit.
func Invert(t Table, ops []Op) ([]Op, error) {
	_, undo, err := run(t, ops)
	return undo, err
}

// Join is one list of ops that does what several do, one after the other.
func Join(steps ...[]Op) []Op { return slices.Concat(steps...) }

// find is where the destination of a match stands, likely at a place; below 0: nowhere.
func find(all []Destination, m Match, likely int) int {
	if likely < len(all) && all[likely].Match.is(m) {
		return likely
	}
	return slices.IndexFunc(all, func(d Destination) bool { return d.Match.is(m) })
}
