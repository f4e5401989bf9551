package routes

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrNoSuchRule is returned for an op on a rule that is not in the table.
	ErrNoSuchRule = errors.New("there is no such rule")
	// ErrRuleExists is returned for an op that adds a rule whose name is already in the table.
	ErrRuleExists = errors.New("there is a rule of this name")

	errUnknownOp = errors.New("unknown op")
)

// ruleNode is a rule in a ruleList.
type ruleNode struct {
	rule           Rule
	previous, next *ruleNode
}

func (n *ruleNode) insertAfter(previous *ruleNode) {
	n.previous, n.next = previous, previous.next
	previous.next.previous, previous.next = n, n
}

func (n *ruleNode) remove() { n.previous.next, n.next.previous = n.next, n.previous }

// ruleList is a table that is being modified: a circular doubly linked list that starts and ends at the root, which
// represents the rule "".
type ruleList struct {
	root   *ruleNode
	byName map[string]*ruleNode
}

func newRuleList(t Table) ruleList {
	list := ruleList{root: &ruleNode{}, byName: make(map[string]*ruleNode, len(t)+1)}
	list.root.previous, list.root.next = list.root, list.root
	list.byName[""] = list.root
	for _, rule := range t {
		list.insert(rule, list.root.previous)
	}
	return list
}

func (l ruleList) insert(rule Rule, previous *ruleNode) {
	added := &ruleNode{rule: rule}
	l.byName[rule.Name] = added
	added.insertAfter(previous)
}

// table returns the table with the rules of the list.
func (l ruleList) table() Table {
	t := make(Table, 0, len(l.byName))
	for node := l.root.next; node != l.root; node = node.next {
		t = append(t, node.rule)
	}
	return t
}

// apply applies one op and returns the op that undoes it. If it returns an error, nothing has changed.
func (l ruleList) apply(op Op) (undo Op, err error) {
	node, previous := l.byName[op.Name], l.byName[op.After]
	if err := checkOp(op, node, previous); err != nil {
		return Op{}, err
	}
	undo = Op{Kind: op.Kind, Name: op.Name, Match: op.Match}
	switch op.Kind {
	case Drop:
		undo = Op{Kind: Add, Name: op.Name, After: node.previous.rule.Name, Rule: node.rule}
		node.remove()
		delete(l.byName, op.Name)
	case Add:
		undo.Kind = Drop
		l.insert(op.Rule, previous)
	case Move:
		undo.After = node.previous.rule.Name
		node.remove()
		node.insertAfter(previous)
	case Rematch:
		undo.Source, undo.Service = node.rule.Source, node.rule.Service
		node.rule.Source, node.rule.Service = op.Source, op.Service
	case Set:
		undo = node.setDestination(op)
	case Unset:
		return node.unsetDestination(op)
	default:
		return Op{}, errUnknownOp
	}
	return undo, nil
}

// checkOp returns an error if an op cannot be applied, given the rule that it names and the rule to place it after.
func checkOp(op Op, node, previous *ruleNode) error {
	switch {
	case op.Name == "" || node == nil && op.Kind != Add:
		return ErrNoSuchRule
	case op.Kind == Add && node != nil:
		return ErrRuleExists
	case op.Kind == Add && op.Rule.Name != op.Name:
		return fmt.Errorf("the rule to add is named %.60q", op.Rule.Name)
	case (op.Kind == Add || op.Kind == Move) && (previous == nil || previous == node):
		return fmt.Errorf("there is no place after %.60q", op.After)
	}
	return nil
}

// setDestination adds or replaces a destination in a copy of the rule's destinations, so the old table stays unchanged.
func (n *ruleNode) setDestination(op Op) (undo Op) {
	destinations := slices.Clone(n.rule.Destinations)
	set := Destination{Weight: op.Weight, Match: op.Match, PerSize: op.PerSize}
	i := destinationIndex(destinations, op.Match, 0)
	if i < 0 {
		undo = Op{Kind: Unset, Name: op.Name, Match: op.Match}
		destinations = append(destinations, set)
	} else {
		undo = undoSet(op, destinations[i])
		destinations[i] = set
	}
	n.rule.Destinations = destinations
	return undo
}

// unsetDestination removes a destination from a copy of the rule's destinations.
func (n *ruleNode) unsetDestination(op Op) (undo Op, err error) {
	i := destinationIndex(n.rule.Destinations, op.Match, 0)
	if i < 0 {
		return Op{}, fmt.Errorf("it has no destination %v", op.Match)
	}
	undo = undoSet(op, n.rule.Destinations[i])
	n.rule.Destinations = slices.Delete(slices.Clone(n.rule.Destinations), i, i+1)
	return undo, nil
}

// undoSet returns the op that restores a destination.
func undoSet(op Op, previous Destination) Op {
	return Op{Kind: Set, Name: op.Name, Match: op.Match, Weight: previous.Weight, PerSize: previous.PerSize}
}

// applyAll applies all ops, and returns the resulting table and the ops that undo them, in order.
func applyAll(t Table, ops []Op) (after Table, undo []Op, err error) {
	list := newRuleList(t)
	for i, op := range ops {
		back, err := list.apply(op)
		if err != nil {
			return nil, nil, fmt.Errorf("op %d, %.20s %.60q: %w", i, op.Kind, op.Name, err)
		}
		undo = append(undo, back)
	}
	slices.Reverse(undo)
	return list.table(), undo, nil
}

// Apply returns the table that results from applying ops. Intermediate tables may exceed the bounds, but Apply returns an error
// if Check rejects the final one or if an op cannot be applied.
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

// Invert returns the ops that lead back to t from the result of applying ops to t, or an error if an op cannot be applied.
func Invert(t Table, ops []Op) ([]Op, error) {
	_, undo, err := applyAll(t, ops)
	return undo, err
}

// Concat returns one list of ops that has the same effect as several lists applied one after the other.
func Concat(steps ...[]Op) []Op { return slices.Concat(steps...) }

// destinationIndex returns the index of the destination with a match, or a negative number if there is none. It tries the
// index likely first.
func destinationIndex(destinations []Destination, m Match, likely int) int {
	if likely < len(destinations) && destinations[likely].Match.equal(m) {
		return likely
	}
	return slices.IndexFunc(destinations, func(d Destination) bool { return d.Match.equal(m) })
}
