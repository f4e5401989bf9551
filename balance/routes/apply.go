package routes

import (
	"errors"
	"fmt"
	"slices"
)

var (
	// ErrNoSuchRule says that an op names a rule that the table does not have.
	ErrNoSuchRule = errors.New("there is no such rule")
	// ErrRuleExists says that an op adds a rule of a name that the table has.
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

// ruleList is a table that is being changed: a ring that begins and ends at the root, which stands for the rule "".
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

// table is the table that the list stands for.
func (l ruleList) table() Table {
	t := make(Table, 0, len(l.byName))
	for node := l.root.next; node != l.root; node = node.next {
		t = append(t, node.rule)
	}
	return t
}

// apply takes one step and returns the one that undoes it. After an error nothing has changed.
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

// checkOp returns why an op does not apply to the rule that it names, and the one that it is to be placed after.
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

// setDestination adds or replaces a destination in a copy of the rule's: the table before keeps its own.
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

// unsetDestination removes a destination from a copy of the rule's.
func (n *ruleNode) unsetDestination(op Op) (undo Op, err error) {
	i := destinationIndex(n.rule.Destinations, op.Match, 0)
	if i < 0 {
		return Op{}, fmt.Errorf("it has no destination %v", op.Match)
	}
	undo = undoSet(op, n.rule.Destinations[i])
	n.rule.Destinations = slices.Delete(slices.Clone(n.rule.Destinations), i, i+1)
	return undo, nil
}

// undoSet is the op that sets a destination to what it was.
func undoSet(op Op, previous Destination) Op {
	return Op{Kind: Set, Name: op.Name, Match: op.Match, Weight: previous.Weight, PerSize: previous.PerSize}
}

// applyAll takes all steps, and returns what they lead to and what undoes them, in order.
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

// Apply is the table that ops lead to. Between them it may exceed the bounds; in the end it is one that Check accepts, or there
// is an error that says what does not fit.
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

// destinationIndex is where the destination of a match stands, likely at an index; below 0: nowhere.
func destinationIndex(destinations []Destination, m Match, likely int) int {
	if likely < len(destinations) && destinations[likely].Match.equal(m) {
		return likely
	}
	return slices.IndexFunc(destinations, func(d Destination) bool { return d.Match.equal(m) })
}
