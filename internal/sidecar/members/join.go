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
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.RandomizationFactor = minRetryDelay, retryRandomization
	for {
		if !isListening {
			if isListening = m.tryListen(retry); isListening {
				retry.Reset()
			}
		}
		var woken <-chan struct{}
		var due <-chan time.Time
		if isListening {
			woken, due = m.joinMissing(retry)
		} else {
			due = time.After(retry.NextBackOff())
		}
		select {
		case <-woken:
		case <-due:
		case <-m.ctx.Done():
			return
		}
	}
}

// tryListen listens once more, and reports whether the member listens now. It sets the longest delay before the next attempt: an address in use is
// free again soon, and other errors, such as a want of descriptors or an interface that is down, are counted and may last.
func (m *Members) tryListen(retry *backoff.ExponentialBackOff) bool {
	err := m.listen()
	retry.MaxInterval = maxListenRetryDelay
	if err == nil || errors.Is(err, errInUse) {
		return err == nil
	}
	retry.MaxInterval = maxRetryDelay
	m.options.Log.Error("members", "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.ListenErrors++
	return false
}

// joinMissing joins members that are missing. It returns channels of which either says that this is to be tried again; nil: never.
func (m *Members) joinMissing(retry *backoff.ExponentialBackOff) (woken <-chan struct{}, due <-chan time.Time) {
	retry.MaxInterval = max(maxRetryDelay, retryDelayPerMember*time.Duration(m.count()))
	missing, recentlyLost := m.missing()
	if len(missing) == 0 {
		retry.Reset()
		if recentlyLost {
			due = time.After(rejoinDelay)
		}
		return m.wakeJoiner, due
	}
	if m.tryJoin(missing) {
		retry.Reset()
	}
	return nil, time.After(retry.NextBackOff())
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

// tryJoin joins through up to maxJoinAddresses of the missing addresses, drawn at random, and reports whether new members were found.
func (m *Members) tryJoin(missing []string) bool {
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	before := m.count()
	_, err := m.list.Join(missing[:min(maxJoinAddresses, len(missing))])
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Joins++
	if err != nil {
		m.counts.JoinsFailed++
		m.options.Log.Debug("members", "join", err)
	}
	return len(m.members) > before
}
