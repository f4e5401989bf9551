package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/replica"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// problem is the body of a refusal. The leader lets a client that asked another node call the right one.
type problem struct {
	Code       string `json:"code"`
	Reason     string `json:"reason"`
	Leader     string `json:"leader,omitempty"`
	LeaderHTTP string `json:"leader_http,omitempty"` // the leader's HTTP address, as it has recorded it
	Revision   int64  `json:"rev"`                   // of the list on this node
}

// The codes of refusals besides those of package state, and the outcome of a call that was done. They are labels of metrics too.
const (
	outcomeOK     = "ok"
	codeFailed    = "failed"
	codeBad       = string(state.Invalid)
	codeNotLeader = "not-leader"
	codeUncertain = "uncertain"
	codeBusy      = "busy"
	codeBehind    = "behind"
)

// Why a node cannot do now what it does at other times.
var (
	errTooManyCalls   = errors.New("this keeper has as many calls as it takes")
	errTooManyWatches = errors.New("this keeper has as many watchers as it takes")
	errTooManyStarts  = errors.New("too many watches begin at once")
	errBehind         = errors.New("this keeper is behind")
)

// invalidError is a malformed call, which every node refuses.
type invalidError struct{ error }

func invalidf(format string, args ...any) error { return invalidError{fmt.Errorf(format, args...)} }

// refusal is how an error is answered.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration // mean; 0: a retry does not help
}

// refusalOf returns how an error is answered.
func refusalOf(err error) refusal {
	var refused *state.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refused):
		return refusal{status: statusOf(refused.Code), code: string(refused.Code)}
	case errors.As(err, &tooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, code: codeBad}
	case errors.As(err, &invalidError{}):
		return refusal{status: http.StatusBadRequest, code: codeBad}
	case errors.Is(err, replica.ErrNotLeader):
		return refusal{status: http.StatusServiceUnavailable, code: codeNotLeader, retryAfter: 200 * time.Millisecond}
	case errors.Is(err, replica.ErrUncertain):
		// Not 503: a client retries after 503, and the command may have been applied.
		return refusal{status: http.StatusGatewayTimeout, code: codeUncertain}
	case isBusy(err):
		return refusal{status: http.StatusServiceUnavailable, code: codeBusy, retryAfter: time.Second}
	case errors.Is(err, errBehind), errors.Is(err, errNoList):
		return refusal{status: http.StatusServiceUnavailable, code: codeBehind, retryAfter: 500 * time.Millisecond}
	}
	return refusal{status: http.StatusInternalServerError, code: codeFailed}
}

func isBusy(err error) bool {
	for _, busy := range []error{errTooManyCalls, errTooManyWatches, errTooManyStarts, replica.ErrBusy} {
		if errors.Is(err, busy) {
			return true
		}
	}
	return false
}

func statusOf(code state.Code) int {
	return map[state.Code]int{
		state.Invalid:      http.StatusBadRequest,
		state.Conflict:     http.StatusConflict,
		state.NotFound:     http.StatusNotFound,
		state.LimitReached: http.StatusInsufficientStorage,
	}[code]
}

// refuse answers a call that is not done, and counts it.
func (n *Node) refuse(w http.ResponseWriter, op string, err error) {
	answer := refusalOf(err)
	n.metrics.recordCall(op, answer.code, 0)
	body := problem{Code: answer.code, Reason: reasonOf(err), Leader: n.replica.Leader()}
	n.store.read(func(m *state.Machine) {
		body.Revision = m.Revision()
		for _, node := range m.Nodes() {
			if node.Name == body.Leader {
				body.LeaderHTTP = node.HTTPAddress
			}
		}
	})
	if answer.retryAfter > 0 {
		// Jitter, so that clients that were refused together do not come back together.
		after := answer.retryAfter/2 + rand.N(answer.retryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	reply(w, answer.status, body)
}

// reasonOf returns the text for the client.
func reasonOf(err error) string {
	var refused *state.Error
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &refused) && errors.As(err, &tooLarge) {
		return fmt.Sprintf("a call holds %d bytes at most", tooLarge.Limit)
	}
	return err.Error()
}
