// Package lister is the client of the platform's list of live and leaving instances. Changes appear on the list
// with a delay.
package lister

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// Role is the function of an instance.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "Entry"
	RoleWorker Role = "Worker"
	RoleRunner Role = "Runner"
)

// State tells whether an instance is in service or about to stop.
type State string

// The states of instances. An instance that has failed or left is not on the list.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Instance is an entry of the list.
type Instance struct {
	ID    string
	Role  Role
	State State
	// Service is the upstream service that a runner provides.
	Service string `json:",omitempty"`
	// Address is the address of the HTTP server of a worker or runner, or of the gRPC server of an entry instance.
	Address netip.AddrPort
	Place   descriptor.Place
}

// List is a snapshot of the instance list, which may be seconds old.
type List struct {
	// ETag is the entity tag of the list, which changes whenever the list changes.
	ETag      string
	Instances []Instance
}

// ErrUnavailable means that the list could not be read or updated.
var ErrUnavailable = errors.New("instance list: unavailable")

// Lister reads the instance list.
type Lister interface {
	// List returns the current list. If etag is still the list's ETag, Instances is nil.
	List(ctx context.Context, etag string) (List, error)
}
