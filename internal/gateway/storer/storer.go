// Package storer is the adapter of the platform's key-value service.
// No other package knows its protocol.
package storer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValue is the largest value in bytes that the store accepts.
const MaxValue = 1 << 20

// Version orders the writes of a key. 0 means that the key is absent.
// The versions of a key only grow, also when it is deleted and created again.
type Version uint64

// LeaseID names a store lease. 0 means none.
type LeaseID uint64

// Entry is a key with its value.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Errors of the store.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's version is not the expected one. The write had no effect.
	ErrConflict = errors.New("store: version conflict")
	// ErrLeaseExpired means that the store no longer knows the lease.
	ErrLeaseExpired = errors.New("store: lease expired")
	// ErrUnavailable means that the call had no effect and may be repeated.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("store: outcome uncertain")
	// ErrTooLarge means that the value exceeds MaxValue.
	ErrTooLarge = errors.New("store: value too large")
)

// Store is what the system assumes of the key-value service.
type Store interface {
	// Get returns ErrNotFound for an absent key.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's version is expect, and ties the key to lease unless that is 0.
	Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes the key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch returns when the key's version differs from after, or when the store ends the wait;
	// then the entry has the version after. An absent key has version 0.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease. Keys tied to it vanish when it is not renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew starts the lease's time again, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
