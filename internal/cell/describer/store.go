package describer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Revision counts the changes of the store. 0 means that a key does not exist.
type Revision int64

// LeaseID names a lease of the store.
type LeaseID int64

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Gone means in an event that the key was removed.
	Gone bool
}

// Expectation is the revision that a key must have for a change to be made.
type Expectation struct {
	Key      string
	Revision Revision
}

// Write sets a key, which is removed with Lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is made as a whole or not at all.
type Change struct {
	Expect []Expectation
	Writes []Write
	Remove []string
}

// MostEntries is how many expectations, writes and removals a Change may have together.
// Source: the platform's protocol page.
const MostEntries = 32

// Page is a part of the items under a prefix.
type Page struct {
	Items []Item
	More  bool
	// At is the store's revision.
	At Revision
}

// ErrNotFound means that there is no such key or lease.
var ErrNotFound = errors.New("not in the store")

// ErrCompacted means that the store no longer has the history that a watch asks for.
var ErrCompacted = errors.New("store no longer has this history")

// ConflictError means that an expectation did not hold and nothing was changed.
type ConflictError struct {
	// Items are the expected keys as they are; a key without an item does not exist.
	Items []Item
}

func (conflictError *ConflictError) Error() string {
	return "store holds other revisions than expected"
}

// Revision returns the present revision of key.
func (conflictError *ConflictError) Revision(key string) Revision {
	for _, item := range conflictError.Items {
		if item.Key == key {
			return item.Revision
		}
	}
	return 0
}

// Store is the platform's key-value service. Errors are those of this file, ErrNotDone and ErrUncertain.
type Store interface {
	Read(ctx context.Context, key string) (Item, error)
	List(ctx context.Context, prefix, after string) (Page, error)
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (events []Item, at Revision, err error)
	Commit(ctx context.Context, change Change) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	Renew(ctx context.Context, lease LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease LeaseID) error
}

// ListAll reads all items under prefix. The revision is one at which or before which all were read,
// so that a watch after it misses nothing.
func ListAll(ctx context.Context, store Store, prefix string) ([]Item, Revision, error) {
	var items []Item
	var at Revision
	after := ""
	for {
		page, err := store.List(ctx, prefix, after)
		if err != nil {
			return nil, 0, errors.Wrapf(err, "list %s", prefix)
		}
		if at == 0 {
			at = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
