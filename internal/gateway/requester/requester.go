// Package requester is the client of the upstream runners, which serve interactive requests.
// Their protocol is defined in this package only.
package requester

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// ResponseGrace is how long after the deadline the response is still awaited. A runner that aborts a request at its
// deadline reports this only then, and a definite fate is worth the short wait.
const ResponseGrace = 250 * time.Millisecond

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 1 << 20

// Errors of Send.
var (
	// ErrNotRun means that the request is known not to have run.
	ErrNotRun = errors.New("runner: request was not run")
	// ErrBusy wraps ErrNotRun and means that all slots of the runner are in use.
	ErrBusy = errors.Wrap(ErrNotRun, "all slots are taken")
	// ErrLeaving wraps ErrNotRun and means that the runner accepts no new requests.
	ErrLeaving = errors.Wrap(ErrNotRun, "runner is leaving")
	// ErrUncertain means that the request may have run.
	ErrUncertain = errors.New("runner: outcome uncertain")
	// ErrMismatch wraps ErrUncertain and means that the response belongs to another request or is incomplete.
	ErrMismatch = errors.Wrap(ErrUncertain, "response does not belong to the request")
)

// Request is an interactive request to an upstream.
type Request struct {
	// ID is unique for each attempt. The response must carry the same ID.
	ID         string
	Service    string
	Caller     string
	Deadline   time.Time
	Idempotent bool
	Body       []byte
}

// Response is a complete response to a Request.
type Response struct {
	// ID is the ID of the request.
	ID string
	// Status is the HTTP status that the upstream returned.
	Status int
	Body   []byte
}

// Requester sends requests to runners.
type Requester interface {
	// Send returns the complete response to request, or an error that tells whether the request may have run.
	Send(ctx context.Context, runner netip.AddrPort, request Request) (Response, error)
}
