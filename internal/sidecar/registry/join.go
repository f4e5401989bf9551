package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/sealed"
)

// joinRequest is the body with which a node asks the leader to add it to the cluster.
type joinRequest struct {
	Name    string `json:"name"`
	Raft    string `json:"raft"`
	HTTP    string `json:"http"`
	Applied uint64 `json:"applied_index"`  // the last command of the log that the node has applied
	Lost    bool   `json:"lost,omitempty"` // the node's store is lost: its old vote must go before it is added again
}

const (
	joinInterval  = 300 * time.Millisecond
	joinTimeout   = 15 * time.Second // of one request
	maxPeersAsked = 16               // in one round
)

// errPeerAddress marks a peer's address that is no part of a URL. It ends a round of askToJoin: the address stands in the configuration.
var errPeerAddress = errors.New("address of a peer")

// join asks the peers to add this node until one of them, the leader, answers that the node has its vote.
func (n *Node) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		code, err := n.askToJoin(ctx, n.replica.Status().Applied, false)
		if code == http.StatusOK {
			if err := os.Remove(n.lostMarkerPath()); err != nil && !errors.Is(err, os.ErrNotExist) {
				n.log.Error("join", "err", err) // the next start joins once more
			}
			n.log.Info("joined")
			return
		}
		if err != nil {
			n.log.Debug("join", "err", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// askToJoin asks the peers, and a leader that they name, one after the other to add this node. It returns the status of the leader's
// answer, 200 or 202, or 0 and the last cause where no node accepts.
func (n *Node) askToJoin(ctx context.Context, applied uint64, lost bool) (int, error) {
	client := &http.Client{Timeout: joinTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	body, err := json.Marshal(joinRequest{Name: n.config.Name, Raft: n.raftAddress(), HTTP: n.httpAddress(), Applied: applied, Lost: lost})
	if err != nil {
		return 0, err
	}
	var lastErr error
	addresses := n.peerAddresses()
	for asked := 0; asked < len(addresses); asked++ {
		address := addresses[asked]
		code, answer, err := postJoin(ctx, client, address, body)
		if errors.Is(err, errPeerAddress) {
			return 0, err
		}
		if err != nil {
			lastErr = err
			continue
		}
		if code == http.StatusOK || code == http.StatusAccepted {
			return code, nil
		}
		if code == http.StatusConflict {
			n.log.Warn("join", "peer", address, "err", answer.Reason)
		}
		lastErr = fmt.Errorf("%s: %s", address, answer.Reason)
		leader := answer.LeaderHTTP // it may be missing in this node's configuration
		if leader != "" && !slices.Contains(addresses, leader) && len(addresses) < maxPeersAsked {
			addresses = append(addresses, leader)
		}
	}
	return 0, lastErr
}

// peerAddresses returns the HTTP addresses of the other nodes in the configuration.
func (n *Node) peerAddresses() []string {
	var addresses []string
	for _, peer := range n.config.Peers {
		if peer.Name != n.config.Name {
			addresses = append(addresses, peer.HTTP)
		}
	}
	return addresses
}

func postJoin(ctx context.Context, client *http.Client, address string, body []byte) (code int, answer problem, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/keepers", bytes.NewReader(body))
	if err != nil {
		return 0, problem{}, fmt.Errorf("%w: %w", errPeerAddress, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, problem{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&answer) // an answer without a reason is used by its code
	return resp.StatusCode, answer, nil
}

// lostMarkerPath names the file that marks a node whose store was corrupt. Until the file is removed, by a completed join, the node has no
// vote.
func (n *Node) lostMarkerPath() string { return filepath.Join(n.config.Folder, "lost") }

// checkStore checks the store before raft opens it. A corrupt one is quarantined, and the other nodes are asked to take this node's vote
// away, so that it can be added again with an empty store: with its old vote it could elect a leader that lacks acknowledged
// commands. It returns whether the node has lost its store and must join.
func (n *Node) checkStore(ctx context.Context) (lost bool, err error) {
	if err := os.MkdirAll(n.config.Folder, 0o700); err != nil {
		return false, fmt.Errorf("folder: %w", err)
	}
	_, err = os.Stat(n.lostMarkerPath())
	marked := err == nil
	corruption := replica.Check(n.raftFolder())
	if corruption == nil && !marked {
		return false, nil
	}
	if corruption != nil && !errors.Is(corruption, replica.ErrCorrupt) {
		return false, corruption
	}
	if err := n.quarantineStore(corruption, marked); err != nil {
		return false, err
	}
	if len(n.config.Peers) < 2 && !n.config.Join {
		return false, fmt.Errorf("%s tells that the store was lost, and there is no other keeper to get it from: remove that file to begin anew, and restore a backup",
			n.lostMarkerPath())
	}
	n.giveUpVote(ctx)
	return true, nil
}

// quarantineStore marks the node as one that lost its store, and moves the store to another name. corruption is nil where only the mark says so.
func (n *Node) quarantineStore(corruption error, marked bool) error {
	if corruption != nil && !marked {
		if err := sealed.WriteFile(n.lostMarkerPath(), []byte(corruption.Error()+"\n")); err != nil {
			return errors.Join(corruption, err)
		}
	}
	if _, err := os.Stat(n.raftFolder()); err != nil {
		return nil //nolint:nilerr // there is no store to move
	}
	aside, err := sealed.Quarantine(n.raftFolder())
	if err != nil {
		return errors.Join(corruption, err)
	}
	n.log.Error("the store is set aside", "err", corruption, "as", aside)
	return nil
}

// giveUpVote asks the other nodes until the leader has taken this node's vote away, or ctx is done.
func (n *Node) giveUpVote(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		code, err := n.askToJoin(ctx, 0, true)
		if code != 0 {
			return
		}
		n.log.Debug("lost", "err", err)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
