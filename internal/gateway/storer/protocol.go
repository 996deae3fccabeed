package storer

import (
	"time"

	"github.com/go-faster/errors"
)

// Operation is an operation of the store. It is the last element of the request path.
type Operation string

// The operations of the store. Each is a POST of a Request to /v1/store/OPERATION, and the response body is a
// Response.
const (
	OperationGet    Operation = "Get"
	OperationPut    Operation = "Put"
	OperationDelete Operation = "Delete"
	OperationWatch  Operation = "Watch"
	OperationGrant  Operation = "Grant"
	OperationRenew  Operation = "Renew"
	OperationRevoke Operation = "Revoke"
)

// Path is the prefix of all request paths.
const Path = "/v1/store/"

// Request is the request body of all operations. Each operation uses only the fields that it needs.
type Request struct {
	Key   string `json:",omitempty"`
	Value []byte `json:",omitempty"`
	// Version is the expected version of the key in Put and Delete. In Watch, it is the version that the caller
	// has: the call waits for a different one.
	Version Version       `json:",omitempty"`
	Lease   LeaseID       `json:",omitempty"`
	TTL     time.Duration `json:",omitempty"`
}

// Response is the response body of all operations.
type Response struct {
	Value   []byte  `json:",omitempty"`
	Version Version `json:",omitempty"`
	Lease   LeaseID `json:",omitempty"`
	// Error is an error code as returned by ErrorCode, or empty on success.
	Error string `json:",omitempty"`
}

var errorsByCode = map[string]error{
	"NotFound":     ErrNotFound,
	"Conflict":     ErrConflict,
	"LeaseExpired": ErrLeaseExpired,
	"Unavailable":  ErrUnavailable,
	"TooLarge":     ErrTooLarge,
}

// ErrorCode returns the code that stands for err in a Response, or an empty string if err has none.
func ErrorCode(err error) string {
	for code, storeErr := range errorsByCode {
		if errors.Is(err, storeErr) {
			return code
		}
	}
	return ""
}
