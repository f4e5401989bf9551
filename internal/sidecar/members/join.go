package members

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// markLost records a process that is to be joined again. m.mu is held.
func (m *Members) markLost(name string, n *node) {
	if len(m.lost) < maxLost {
		m.lost[name] = lostProcess{n.address, time.Now()}
	}
}

// runJoin listens, unless the member does already, and joins other members until this one ends. While nobody is missing it waits until
// somebody is. The backoff is random: members that lost each other at the same time would otherwise try again at the same time.
func (m *Members) runJoin(isListening bool) {
	defer m.goroutines.Done()
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval, pauses.RandomizationFactor = 100*time.Millisecond, 10*time.Second, 0.5
	for {
		if !isListening {
			err := m.listen()
			if err != nil && !errors.Is(err, errInUse) {
				m.options.Log.Error("members", "err", err)
				return
			}
			if err == nil {
				isListening = true
				pauses.Reset()
			}
			pauses.MaxInterval = 200 * time.Millisecond
		}
		if !m.joinAndWait(pauses, isListening) {
			return
		}
	}
}

// joinAndWait joins members that are missing, and waits until that is to be tried again. It returns false once the member ends.
func (m *Members) joinAndWait(pauses *backoff.ExponentialBackOff, isListening bool) bool {
	var woken <-chan struct{}
	var wait <-chan time.Time
	if isListening {
		pauses.MaxInterval = max(4*time.Second, retryDelayPerMember*time.Duration(m.count()))
		missing, later := m.missing()
		switch {
		case len(missing) == 0:
			pauses.Reset()
			woken = m.wakeJoiner
			if later {
				wait = time.After(rejoinDelay)
			}
		case m.tryJoin(missing):
			pauses.Reset()
		}
	}
	if woken == nil { // somebody is missing
		wait = time.After(pauses.NextBackOff())
	}
	select {
	case <-woken:
		return true
	case <-wait:
		return true
	case <-m.ctx.Done():
		return false
	}
}

// missing returns the addresses at which members may be that are not seen: those of processes that were lost, and those of Options.Join at
// which no process is known. recentlyLost reports that processes were lost less than rejoinDelay ago, whose addresses are left out.
func (m *Members) missing() (addresses []string, recentlyLost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	there := map[string]bool{m.Address(): true, m.options.Advertise: true}
	for _, n := range m.nodes {
		there[n.address] = true
	}
	for name, l := range m.lost {
		hasSuccessor := parseNodeName(name).start < m.members[parseNodeName(name).name]
		switch {
		case hasSuccessor || there[l.address]:
			delete(m.lost, name)
		case time.Since(l.lostAt) >= rejoinDelay:
			addresses = append(addresses, l.address)
		default:
			recentlyLost = true
		}
	}
	for _, a := range m.options.Join {
		if !there[a] {
			addresses = append(addresses, a)
		}
	}
	return addresses, recentlyLost
}

// tryJoin joins through up to two of the missing addresses, drawn at random, and reports whether new members were found.
func (m *Members) tryJoin(missing []string) bool {
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	before := m.count()
	_, err := m.list.Join(missing[:min(2, len(missing))])
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Joins++
	if err != nil {
		m.counts.JoinsFailed++
		m.options.Log.Debug("members", "join", err)
	}
	return len(m.members) > before
}
