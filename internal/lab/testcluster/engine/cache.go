package engine

import "container/list"

// cachedPart is a kept cachedPart of prompts.
type cachedPart struct {
	id     uint64
	tokens int
	users  int           // running jobs that use it
	idle   *list.Element // its place among those without users
}

// prefixCache keeps parts; those without users give way, the longest unused first.
type prefixCache struct {
	parts        map[uint64]*cachedPart
	order        list.List // of *part without users, the longest unused first
	cachedTokens int64     // tokens of all
	idleTokens   int64     // tokens of those without users
}

// pin takes the kept parts at the start of a prompt into use: a part counts only if all before it are kept.
func (c *prefixCache) pin(parts []PromptPart) []*cachedPart {
	var pinned []*cachedPart
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

func (c *prefixCache) use(p *cachedPart) {
	if p.users == 0 && p.idle != nil {
		c.order.Remove(p.idle)
		p.idle = nil
		c.idleTokens -= int64(p.tokens)
	}
	p.users++
}

// add keeps a part for one user. Where it is kept already, the user shares it.
func (c *prefixCache) add(want PromptPart) *cachedPart {
	p := c.parts[want.ID]
	if p == nil || p.tokens != want.Tokens {
		if p != nil && p.users == 0 {
			c.evict(p)
		}
		p = &cachedPart{id: want.ID, tokens: want.Tokens}
		c.parts[p.id] = p
		c.cachedTokens += int64(p.tokens)
	}
	c.use(p)
	return p
}

func (c *prefixCache) unpin(pinned []*cachedPart) {
	for i := len(pinned) - 1; i >= 0; i-- { // the end of a prompt is the first to give way
		p := pinned[i]
		if p.users--; p.users > 0 {
			continue
		}
		if c.parts[p.id] != p { // another took its name
			c.cachedTokens -= int64(p.tokens)
			continue
		}
		p.idle = c.order.PushBack(p)
		c.idleTokens += int64(p.tokens)
	}
}

// evictTo drops unused parts until at most maxTokens tokens are kept, as far as it can.
func (c *prefixCache) evictTo(maxTokens int64) {
	for c.cachedTokens > maxTokens && c.order.Len() > 0 {
		c.evict(c.order.Front().Value.(*cachedPart))
	}
}

func (c *prefixCache) evict(p *cachedPart) {
	c.order.Remove(p.idle)
	p.idle = nil
	c.idleTokens -= int64(p.tokens)
	c.cachedTokens -= int64(p.tokens)
	if c.parts[p.id] == p {
		delete(c.parts, p.id)
	}
}
