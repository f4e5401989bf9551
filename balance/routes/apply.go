package routes

import (
	"errors"
	"fmt"
	"slices"
)

// ruleNode is a rule in a chain, and chain a table that is being changed: a ring that begins and ends at root, the rule "".
type ruleNode struct {
	rule       Rule
	prev, next *ruleNode
}

type ruleList struct {
	root   *ruleNode
	byName map[string]*ruleNode
}

func newRuleList(t Table) ruleList {
	c := ruleList{root: &ruleNode{}, byName: make(map[string]*ruleNode, len(t)+1)}
	c.root.prev, c.root.next, c.byName[""] = c.root, c.root, c.root
	for _, r := range t {
		c.byName[r.Name] = &ruleNode{rule: r}
		c.byName[r.Name].insertAfter(c.root.prev)
	}
	return c
}

func (p *ruleNode) insertAfter(after *ruleNode) {
	p.prev, p.next = after, after.next
	after.next.prev, after.next = p, p
}

func (p *ruleNode) remove() { p.prev.next, p.next.prev = p.next, p.prev }

// apply takes one step and returns the one that undoes it. After an error nothing has changed.
func (c ruleList) apply(op Op) (back Op, err error) {
	p, after := c.byName[op.Name], c.byName[op.After]
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
		p.remove()
		delete(c.byName, op.Name)
	case Add:
		back.Kind = Drop
		c.byName[op.Name] = &ruleNode{rule: op.Rule}
		c.byName[op.Name].insertAfter(after)
	case Move:
		back.After = p.prev.rule.Name
		p.remove()
		p.insertAfter(after)
	case Rematch:
		back.Source, back.Service = p.rule.Source, p.rule.Service
		p.rule.Source, p.rule.Service = op.Source, op.Service
	case Set, Unset:
		all, now := slices.Clone(p.rule.Destinations), Destination{op.Weight, op.Match, op.PerSize} // the old table keeps its own
		i := destinationIndex(all, op.Match, 0)
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

// applyAll takes all steps, and returns what they lead to and what undoes them, in order.
func applyAll(t Table, ops []Op) (after Table, undo []Op, err error) {
	c := newRuleList(t)
	for i, op := range ops {
		back, err := c.apply(op)
		if err != nil {
			return nil, nil, fmt.Errorf("op %d, %.20s %.60q: %w", i, op.Kind, op.Name, err)
		}
		undo = append(undo, back)
	}
	after = make(Table, 0, len(c.byName))
	for p := c.root.next; p != c.root; p = p.next {
		after = append(after, p.rule)
	}
	slices.Reverse(undo)
	return after, undo, nil
}

// Apply is the table that ops lead to. Between them it may be over the bounds; in the end it is one that Check passes, or
// there is an error that says what does not fit.
func Apply(t Table, ops []Op) (Table, error) {
	after, _, err := applyAll(t, ops)
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
	_, undo, err := applyAll(t, ops)
	return undo, err
}

// Concat is one list of ops that does what several do, one after the other.
func Concat(steps ...[]Op) []Op { return slices.Concat(steps...) }

// destinationIndex is where the destination of a match stands, likely at a place; below 0: nowhere.
func destinationIndex(all []Destination, m Match, likely int) int {
	if likely < len(all) && all[likely].Match.equal(m) {
		return likely
	}
	return slices.IndexFunc(all, func(d Destination) bool { return d.Match.equal(m) })
}
