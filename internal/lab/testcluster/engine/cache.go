package engine

import "container/list"

// part is a kept part of prompts.
type part struct {
	id     uint64
	tokens int
	users  int           // running jobs that use it
	idle   *list.Element // its place among those without users
}

// cache keeps parts; those without users give way, the longest unused first.
type cache struct {
	parts map[uint64]*part
	order list.List // of *part without users, the longest unused first
	held  int64     // tokens of all
	idle  int64     // tokens of those without users
}

// pin takes the kept parts at the start of a prompt into use: a part counts only if all before it are kept.
func (c *cache) pin(parts []Part) []*part {
	var pinned []*part
	for _, want := range parts {
		p := c.parts[want.ID]
		if p == nil || p.tokens != want.Tokens {
			break
		}
		c.use(p)
		pinned = append(pinned, p)
	}
	return pinned
}

func (c *cache) use(p *part) {
	if p.users == 0 && p.idle != nil {
		c.order.Remove(p.idle)
		p.idle = nil
		c.idle -= int64(p.tokens)
	}
	p.users++
}

// add keeps a part for one user. Where it is kept already, the user shares it.
func (c *cache) add(want Part) *part {
	p := c.parts[want.ID]
	if p == nil || p.tokens != want.Tokens {
		if p != nil && p.users == 0 {
			c.drop(p)
		}
		p = &part{id: want.ID, tokens: want.Tokens}
		c.parts[p.id] = p
		c.held += int64(p.tokens)
	}
	c.use(p)
	return p
}

func (c *cache) unpin(pinned []*part) {
	for i := len(pinned) - 1; i >= 0; i-- { // the end of a prompt is the first to give way
		p := pinned[i]
		if p.users--; p.users > 0 {
			continue
		}
		if c.parts[p.id] != p { // another took its name
			c.held -= int64(p.tokens)
			continue
		}
		p.idle = c.order.PushBack(p)
		c.idle += int64(p.tokens)
	}
}

// shrink drops unused parts until at most most tokens are kept, as far as it can.
func (c *cache) shrink(most int64) {
	for c.held > most && c.order.Len() > 0 {
		c.drop(c.order.Front().Value.(*part))
	}
}

func (c *cache) drop(p *part) {
	c.order.Remove(p.idle)
	p.idle = nil
	c.idle -= int64(p.tokens)
	c.held -= int64(p.tokens)
	if c.parts[p.id] == p {
		delete(c.parts, p.id)
	}
}
