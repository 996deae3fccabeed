package describer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Revision is a position in the sequence of store changes. As the revision of a key, 0 means that the key
// does not exist.
type Revision int64

// LeaseID identifies a lease in the store.
type LeaseID int64

// Item is a key of the store with its value and revision.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted marks a watch event that reports the removal of the key.
	Deleted bool
}

// Expectation is a precondition of a change: the revision that a key must have.
type Expectation struct {
	Key      string
	Revision Revision
}

// Write sets a key. Unless Lease is 0, the key is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is an atomic transaction, applied only if all expectations hold.
type Change struct {
	Expect []Expectation
	Writes []Write
	Remove []string
}

// MaxChangeEntries is the largest total number of expectations, writes and removals in a Change, as defined
// by the platform's protocol.
const MaxChangeEntries = 32

// Page is one page of a listing of the items under a prefix.
type Page struct {
	Items []Item
	More  bool
	// At is the revision of the store at which the page was read.
	At Revision
}

// ErrNotFound means that the key or lease does not exist.
var ErrNotFound = errors.New("key or lease not found in the store")

// ErrCompacted means that the store has discarded the history that a watch starts from.
var ErrCompacted = errors.New("store history at this revision has been compacted")

// ConflictError means that an expectation did not hold and nothing was changed.
type ConflictError struct {
	// Items are the expected keys in their current state. An expected key without an item does not exist.
	Items []Item
}

func (conflictError *ConflictError) Error() string {
	return "revision conflict: key changed in the store"
}

// Revision returns the current revision of key, or 0 if it does not exist.
func (conflictError *ConflictError) Revision(key string) Revision {
	for _, item := range conflictError.Items {
		if item.Key == key {
			return item.Revision
		}
	}
	return 0
}

// Store is the platform's key-value store. Its methods return the errors of this file, ErrNoEffect and
// ErrUncertain.
type Store interface {
	Read(ctx context.Context, key string) (Item, error)
	List(ctx context.Context, prefix, after string) (Page, error)
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (events []Item, at Revision, err error)
	Commit(ctx context.Context, change Change) (Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	Renew(ctx context.Context, lease LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease LeaseID) error
}

// ListAll reads all items under prefix, page by page. It returns the revision of the first page, so that a
// watch after that revision misses no change.
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
