package members

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
)

// The timing. A death is known after about 1.6 probe intervals until one probes the dead, one more in which it and its
// helpers hear nothing, suspicion for suspicionMult * log10(members) intervals, and gossip: at 300 members 0.3 + 0.2 + 1.5 +
// 0.3 s. Shorter ones would declare a process dead that waits for a processor, or whose only prober does.
const (
	probeInterval       = 200 * time.Millisecond
	probeTimeout        = 150 * time.Millisecond
	suspicionMult       = 3 // so one other member has to miss it too; else suspicion lasts six times as long
	gossipInterval      = 100 * time.Millisecond
	gossipNodes         = 4
	retransmitMult      = 2 // times log10(members), rounded up: at 300 each forwards an update 6 times, and 1 in 400 misses it
	pushPullInterval    = 5 * time.Second
	streamTimeout       = time.Second
	gossipToDeadTime    = 30 * time.Second
	leaveTimeout        = 500 * time.Millisecond
	handoverTime        = time.Second // between an old process's farewell and the new one's arrival, in which the place is kept
	minViewDelay        = 10 * time.Millisecond
	maxViewDelay        = 80 * time.Millisecond
	viewDelayPerMember  = 300 * time.Microsecond // for each member: where many start at once their views would change at each
	rejoinDelay         = 3 * time.Second        // that a process is lost: one that is falsely taken for dead comes back by itself
	retryDelayPerMember = 80 * time.Millisecond  // for each member between tries, so that the fleet makes about ten a second
	sweepInterval       = 250 * time.Millisecond
	claimInterval       = 2 * time.Second  // about
	lostTTL             = 10 * time.Minute // a lost process is looked for
	maxLost             = 1024
	label               = "gradeusher/1" // on each packet and stream: others are passed over
)

var errInUse = errors.New("the address is in use")

// listen opens the sockets and has memberlist run over them.
func (m *Members) listen() error {
	host, port, err := splitAddress(m.options.Listen)
	if err != nil {
		return err
	}
	logger := slog.NewLogLogger(m.options.Log.Handler(), slog.LevelDebug)
	t, err := newTransport(host, port, m.options.Reach, m.options.knobs.DropPacket)
	if errors.Is(err, syscall.EADDRINUSE) {
		return errors.Join(errInUse, err)
	} else if err != nil {
		return err
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.Transport, config.Logger, config.Label = m.ownNode, t, logger, label
	config.BindAddr, config.BindPort = host, t.port()
	config.AdvertiseAddr, config.AdvertisePort = host, config.BindPort
	if m.options.Advertise != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = splitAddress(m.options.Advertise); err != nil {
			return errors.Join(err, t.Shutdown())
		}
	}
	config.Delegate, config.Events = m, m
	config.ProbeInterval, config.ProbeTimeout, config.SuspicionMult = probeInterval, probeTimeout, suspicionMult
	config.GossipInterval, config.GossipNodes, config.GossipToTheDeadTime = gossipInterval, gossipNodes, gossipToDeadTime
	config.PushPullInterval, config.TCPTimeout = pushPullInterval, streamTimeout
	config.EnableCompression = false // of packets that are small
	m.mu.Lock()
	m.transport = t
	m.mu.Unlock()
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(err, t.Shutdown())
	}
	m.mu.Lock()
	m.list = list
	m.mu.Unlock()
	close(m.listening)
	m.options.Log.Info("members", "listening", m.Address(), "name", m.options.Name)
	return nil
}

// markLost records a process that is to be joined again. m.mu is held.
func (m *Members) markLost(name string, n *node) {
	if len(m.lost) < maxLost {
		m.lost[name] = lostProcess{n.address, time.Now()}
	}
}

// runJoin listens, unless the member does already, and joins others, until the member ends. Once nobody is missing it waits until
// somebody is. The pauses are random: members that lost each other at the same time would otherwise try again at the same time.
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

// joinAndWait joins the members that are missing, and waits until it is to be tried again. It returns false once the member ends.
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

// missing returns addresses of members that may be there but are not seen: of processes that are lost, and those to join at
// which nobody is known. recentlyLost reports that some were lost less than rejoinDelay ago. The host of the latter counts only where no host is reached in place of it.
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

// tryJoin joins through one that is missing, or two, and reports whether that found any member.
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
