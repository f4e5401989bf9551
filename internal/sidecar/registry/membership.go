package registry

import (
	"errors"
	"fmt"
	"net/http"

	"gradeusher.example/gradeusher/internal/sidecar/list"
	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// maxCatchUpLag is how many commands a node may be behind when it gets its vote.
const maxCatchUpLag = 64

// addNode handles POST /v1/keepers: a node that joins calls it until it has its vote. It is added without a vote first, and gets one once it
// says that it has caught up.
func (n *Node) addNode(w http.ResponseWriter, r *http.Request) error {
	var request joinRequest
	if err := decode(r, &request); err != nil {
		return err
	}
	if err := request.check(); err != nil {
		return err
	}
	if !n.membership.TryLock() {
		return errTooManyCalls
	}
	defer n.membership.Unlock()
	if request.Lost {
		return n.takeVote(w, request.Name)
	}
	peer := replica.Peer{Name: request.Name, Address: request.Raft}
	if err := n.replica.Add(peer); err != nil {
		return membershipError(err)
	}
	if commit := n.replica.Status().Commit; request.Applied+maxCatchUpLag < commit {
		reply(w, http.StatusAccepted, problem{Code: "catching-up", Reason: fmt.Sprintf("%s is at %d of %d", request.Name, request.Applied, commit)})
		return nil
	}
	if err := n.replica.Promote(peer); err != nil {
		return err
	}
	command := state.Command{Op: state.SetNode, Node: &state.Node{Name: request.Name, HTTPAddress: request.HTTP}}
	if _, err := n.propose(r.Context(), command); err != nil {
		return err
	}
	n.log.Info("node joined", "node", request.Name)
	return n.replyPeers(w)
}

func (request *joinRequest) check() error {
	if err := list.CheckUID(request.Name); err != nil {
		return invalidf("name: %w", err)
	}
	for _, address := range []string{request.Raft, request.HTTP} {
		if err := list.CheckAddress(address); err != nil {
			return invalidf("%w", err)
		}
	}
	return nil
}

// takeVote removes a node that lost its store. Its old vote must go before it is added again: with an empty store it could elect a leader that
// lacks acknowledged commands.
func (n *Node) takeVote(w http.ResponseWriter, name string) error {
	if err := n.replica.RemoveIfMember(name); err != nil {
		return membershipError(err)
	}
	n.log.Warn("a node lost its store, and its vote", "node", name)
	reply(w, http.StatusAccepted, problem{Code: "removed", Reason: name + " has no vote: it can join"})
	return nil
}

// membershipError makes a conflict of an error of replica that says that a change does not fit the members there are.
func membershipError(err error) error {
	for _, passed := range []error{replica.ErrNotLeader, replica.ErrUncertain, replica.ErrBusy} {
		if errors.Is(err, passed) {
			return err
		}
	}
	return &state.Error{Code: state.Conflict, Reason: err.Error()}
}

// removeNode handles DELETE /v1/keepers/{name}.
func (n *Node) removeNode(w http.ResponseWriter, r *http.Request) error {
	if !n.membership.TryLock() {
		return errTooManyCalls
	}
	defer n.membership.Unlock()
	name := r.PathValue("name")
	if err := n.replica.Remove(name); err != nil {
		return membershipError(err)
	}
	if name != n.config.Name { // a leader that removed itself can propose nothing more
		if _, err := n.propose(r.Context(), state.Command{Op: state.RemoveNode, Node: &state.Node{Name: name}}); err != nil {
			return err
		}
	}
	n.log.Info("node removed", "node", name)
	return n.replyPeers(w)
}

func (n *Node) replyPeers(w http.ResponseWriter) error {
	peers, err := n.replica.Peers()
	if err != nil {
		return err
	}
	reply(w, http.StatusOK, map[string]any{"peers": peers})
	return nil
}
