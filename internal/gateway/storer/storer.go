// Package storer is the client of the platform's key-value service.
// Its protocol is defined in this package only.
package storer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Version is the version of a key, which increases with every write; 0 means that the key is absent.
// A key that is deleted and created again continues with a higher version.
type Version uint64

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Errors of the store.
var (
	// ErrNotFound means that the key is absent.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key does not have the expected version. The write had no effect.
	ErrConflict = errors.New("store: version conflict")
	// ErrLeaseExpired means that the store no longer has the lease.
	ErrLeaseExpired = errors.New("store: lease expired")
	// ErrUnavailable means that the call had no effect and can be retried.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUncertain means that the write may or may not have taken effect.
	ErrUncertain = errors.New("store: outcome uncertain")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// Store is the interface of the key-value service.
type Store interface {
	// Get returns the entry of key, or ErrNotFound if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's version is expect, and attaches the key to lease unless that is 0.
	// It returns the new version.
	Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Delete deletes the key if its version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits until the key's version differs from after and returns the entry. If the store ends the wait
	// first, the entry still has the version after. An absent key has version 0.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease. If it is not renewed within ttl, the store deletes the keys attached to it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the lease's time to live, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
