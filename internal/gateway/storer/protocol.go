package storer

import (
	"time"

	"github.com/go-faster/errors"
)

// Kind names a kind of call. It is the last element of the call's path.
type Kind string

// The kinds of calls to the store. All are POST /v1/store/KIND with a Call and answered with an Answer.
const (
	KindGet    Kind = "Get"
	KindPut    Kind = "Put"
	KindDelete Kind = "Delete"
	KindWatch  Kind = "Watch"
	KindGrant  Kind = "Grant"
	KindRenew  Kind = "Renew"
	KindRevoke Kind = "Revoke"
)

// Path is the prefix of the path of all calls.
const Path = "/v1/store/"

// Call is the document of a call. Each kind uses the fields it needs.
type Call struct {
	Key     string        `json:",omitempty"`
	Value   []byte        `json:",omitempty"`
	Version Version       `json:",omitempty"`
	Lease   LeaseID       `json:",omitempty"`
	TTL     time.Duration `json:",omitempty"`
}

// Answer is the document of an answer.
type Answer struct {
	Value   []byte  `json:",omitempty"`
	Version Version `json:",omitempty"`
	Lease   LeaseID `json:",omitempty"`
	// Error is the code of an error, or empty.
	Error string `json:",omitempty"`
}

var codes = map[string]error{
	"NotFound":     ErrNotFound,
	"Conflict":     ErrConflict,
	"LeaseExpired": ErrLeaseExpired,
	"Unavailable":  ErrUnavailable,
	"TooLarge":     ErrTooLarge,
}

// Code returns the code of an error in an Answer.
func Code(err error) string {
	for code, known := range codes {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}
