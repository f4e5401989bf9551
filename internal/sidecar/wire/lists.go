package wire

import (
	"errors"
	"fmt"
	"io"

	"gradeusher.example/gradeusher/balance"
)

// listNumber returns the number of a list, which is field i.
func (r *Reader) listNumber(i int) int {
	n := r.integer(i)
	if n >= len(r.lists) {
		r.fail(i, "a list from 0 to 15")
		return 0
	}
	return n
}

// endpoints decodes the event of a list, which DEFINE_LIST has defined unless discovery failed.
func (r *Reader) endpoints() {
	event := &r.event
	event.Entries = nil
	if len(r.fields) < minListEventFields {
		r.err = errTooFewParts
		return
	}
	kind, known := listKinds[string(r.fields[2])]
	if !known {
		r.fail(2, "a mode")
		return
	}
	event.List = kind
	if kind != balance.ListRefused {
		event.Entries = r.lists[r.listNumber(1)]
	}
}

// minListEventFields is how many fields of a list event are needed: its name, the list's number and the kind of the list.
const minListEventFields = 3

var errTooFewParts = errors.New("too few parts")

// listKinds are the kinds of lists by their words.
var listKinds = map[string]balance.ListKind{
	"all":        balance.ListFull,
	"changes":    balance.ListChanges,
	"remembered": balance.ListCached,
	"refused":    balance.ListRefused,
}

// defineList decodes a list: a line with its number and length, and a line for each entry.
func (r *Reader) defineList() error {
	number, rows := r.listNumber(1), r.integer(2)
	if r.err != nil {
		return fmt.Errorf("DEFINE_LIST: %w", r.err)
	}
	list := r.lists[number][:0]
	for range rows {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.EOF from Next is the regular end of input
		}
		if err != nil {
			return fmt.Errorf("list of %d entries ends early: %w", rows, err)
		}
		entry, err := r.listEntry(line)
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	r.lists[number] = list
	return nil
}

// listEntry decodes an entry of a list. Its capacity is 1 and its start long ago where the line does not give them.
func (r *Reader) listEntry(line []byte) (balance.Endpoint, error) {
	r.split(line)
	if string(r.fields[0]) != "ITEM" {
		return balance.Endpoint{}, fmt.Errorf("%q where an entry is due", r.fields[0])
	}
	entry := balance.Endpoint{ID: r.text(1), Zone: r.text(2), Kind: r.text(3), Cell: int(r.optionalUint(4)), Size: 1}
	if entry.ID == "" {
		r.fail(1, "a server")
	}
	entry.State = r.state(5)
	if !r.absent(6) {
		entry.Size = r.float(6)
	}
	if !r.absent(7) {
		entry.Started = r.duration(7)
	}
	if r.err != nil {
		return balance.Endpoint{}, fmt.Errorf("ITEM: %w", r.err)
	}
	return entry, nil
}
