// Package lister is the adapter of the platform's lagging list of live and leaving instances.
package lister

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// Role tells what an instance does.
type Role string

// The roles of instances.
const (
	RoleEntry  Role = "Entry"
	RoleWorker Role = "Worker"
	RoleRunner Role = "Runner"
)

// State tells whether an instance is staying.
type State string

// The states of instances. An instance that failed or left is not listed.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Instance is one row of the list.
type Instance struct {
	ID    string
	Role  Role
	State State
	// Service is the upstream service of a runner.
	Service string `json:",omitempty"`
	// Address is where the instance is called: HTTP for workers and runners, gRPC for entry instances.
	Address netip.AddrPort
	Place   descriptor.Place
}

// List is the platform's list at one moment, which may be seconds old.
type List struct {
	// Validator changes when the list changes.
	Validator string
	Instances []Instance
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("instance list: unavailable")

// Lister reads the list.
type Lister interface {
	// List returns the current list. When validator is the current one, Instances is nil.
	List(ctx context.Context, validator string) (List, error)
}
