// Package requester is the adapter of upstream runners, which answer interactive requests.
// No other package knows their protocol.
package requester

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// AnswerGrace is how long an answer is awaited past the deadline. A runner that gives a request up at
// its deadline tells so then, and a fate that is known beats one that is a little earlier.
const AnswerGrace = 250 * time.Millisecond

// MaxBody is the largest request or answer body in bytes.
const MaxBody = 1 << 20

// Errors of a runner.
var (
	// ErrNotRun means that the runner provably did not run the request.
	ErrNotRun = errors.New("runner: request was not run")
	// ErrBusy is a kind of ErrNotRun: all slots of the runner are taken.
	ErrBusy = errors.Wrap(ErrNotRun, "all slots are taken")
	// ErrLeaving is a kind of ErrNotRun: the runner takes no new work.
	ErrLeaving = errors.Wrap(ErrNotRun, "runner is leaving")
	// ErrUncertain means that the request may have run.
	ErrUncertain = errors.New("runner: outcome uncertain")
	// ErrMismatch means that the answer belongs to another request or is incomplete. The request may have run.
	ErrMismatch = errors.Wrap(ErrUncertain, "answer does not belong to the request")
)

// Request is one interactive request to an upstream.
type Request struct {
	// ID is unique for each attempt. The answer must carry it.
	ID         string
	Service    string
	Caller     string
	Deadline   time.Time
	Idempotent bool
	Body       []byte
}

// Response is a complete answer.
type Response struct {
	// ID is that of the request.
	ID string
	// Status is the upstream's HTTP status.
	Status int
	Body   []byte
}

// Requester sends requests to runners.
type Requester interface {
	// Send returns the complete answer to request, or an error that tells whether it may have run.
	Send(ctx context.Context, runner netip.AddrPort, request Request) (Response, error)
}
