package storer

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind is an operation of the store. It is the last element of the request path.
type Kind string

// The operations of the store. Each is a POST of a Call to /v1/store/KIND, and the response body is an Answer.
const (
	KindGet    Kind = "Get"
	KindPut    Kind = "Put"
	KindDelete Kind = "Delete"
	KindWatch  Kind = "Watch"
	KindGrant  Kind = "Grant"
	KindRenew  Kind = "Renew"
	KindRevoke Kind = "Revoke"
)

// Path is the prefix of all request paths.
const Path = "/v1/store/"

// Call is the request body of all operations. Each operation uses only the fields that it needs.
type Call struct {
	Key     string        `json:",omitempty"`
	Value   []byte        `json:",omitempty"`
	Version Version       `json:",omitempty"`
	Lease   LeaseID       `json:",omitempty"`
	TTL     time.Duration `json:",omitempty"`
}

// Answer is the response body of all operations.
type Answer struct {
	Value   []byte  `json:",omitempty"`
	Version Version `json:",omitempty"`
	Lease   LeaseID `json:",omitempty"`
	// Error is an error code as returned by Code, or empty on success.
	Error string `json:",omitempty"`
}

var errorsByCode = map[string]error{
	"NotFound":     ErrNotFound,
	"Conflict":     ErrConflict,
	"LeaseExpired": ErrLeaseExpired,
	"Unavailable":  ErrUnavailable,
	"TooLarge":     ErrTooLarge,
}

// Code returns the code that stands for err in an Answer, or an empty string if err has none.
func Code(err error) string {
	for code, storeErr := range errorsByCode {
		if errors.Is(err, storeErr) {
			return code
		}
	}
	return ""
}
