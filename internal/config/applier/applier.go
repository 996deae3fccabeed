// Package applier writes the operators' configuration to the store and keeps the newest revision that it has
// received in force at an entry instance.
package applier

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/work/descriptor"
)

// Key is the store key of the configuration.
const Key = "config/current"

// retryAfter is the retry delay that operators are given after a failed store call.
const retryAfter = 5 * time.Second

// Bounds of the exponential backoff after a failed read or watch of the store.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// storedConfig is the JSON document stored under Key.
type storedConfig struct {
	Revision uint64
	// WriteID is unique to a call of Apply. A writer that lost the store's response recognises its own value by it.
	WriteID  string
	Document json.RawMessage
}

// Applier holds the configuration in force. Store has to be set. It is safe for concurrent use.
type Applier struct {
	Store storer.Store
	// OnChange is called with each newer configuration. Calls do not overlap.
	OnChange func(*parser.Compiled)

	// setMutex serialises SetIfNewer, so that OnChange is called in the order of the revisions.
	setMutex sync.Mutex
	mutex    sync.Mutex
	current  *parser.Compiled
	document []byte
	// version is the highest version of the store's entry under Key that was read. Watch waits until the entry's
	// version differs from it. It is not the revision, which is part of the stored document.
	version storer.Version
	// storeRead is true once the store was read successfully, even if it held no configuration.
	storeRead bool
}

// Current returns the configuration in force. Before any is loaded, it is empty and has revision 0.
func (applier *Applier) Current() *parser.Compiled {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	if applier.current == nil {
		return &parser.Compiled{}
	}
	return applier.current
}

// Loaded reports whether the instance has the configuration in force, either from the store, which may also have
// reported that there is none, or from a peer.
func (applier *Applier) Loaded() bool {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	return applier.storeRead || applier.current != nil
}

// Document returns the revision of the configuration in force and its JSON document as it was applied.
func (applier *Applier) Document() (uint64, []byte) {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	if applier.current == nil {
		return 0, []byte("{}")
	}
	return applier.current.Revision, applier.document
}

// Serve reads the configuration and then watches it in the store until ctx ends. The read comes first because
// a watch does not return while there is no configuration. Serve neither returns nor logs errors of the
// store or of a stored configuration that cannot be used: it retries the failed call with a growing delay, and
// the configuration in force stays. A caller learns only from Loaded whether any configuration was read yet.
func (applier *Applier) Serve(ctx context.Context) error {
	backoff := minBackoff
	next := applier.load
	for ctx.Err() == nil {
		err := next(ctx)
		if err == nil {
			backoff = minBackoff
			next = applier.watch
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func (applier *Applier) load(ctx context.Context) error {
	entry, err := applier.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	return applier.setFromEntry(entry)
}

func (applier *Applier) watch(ctx context.Context) error {
	applier.mutex.Lock()
	after := applier.version
	applier.mutex.Unlock()
	entry, err := applier.Store.Watch(ctx, Key, after)
	if err != nil {
		return err
	}
	if entry.Version == after {
		return nil
	}
	return applier.setFromEntry(entry)
}

// setFromEntry passes a value read from the store to SetIfNewer and records its version for the next watch.
func (applier *Applier) setFromEntry(entry storer.Entry) error {
	var value storedConfig
	if len(entry.Value) > 0 {
		if err := json.Unmarshal(entry.Value, &value); err != nil {
			return errors.Wrap(err, "configuration in the store")
		}
		if err := applier.SetIfNewer(value.Revision, value.Document); err != nil {
			return err
		}
	}
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	// The version must not decrease on a stale read: each following watch would return at once.
	applier.version = max(applier.version, entry.Version)
	applier.storeRead = true
	return nil
}

// SetIfNewer puts a configuration from the store or from a peer in force if its revision is higher than the
// current one.
func (applier *Applier) SetIfNewer(revision uint64, document []byte) error {
	applier.setMutex.Lock()
	defer applier.setMutex.Unlock()
	if revision <= applier.Current().Revision {
		return nil
	}
	config, err := parser.Parse(document)
	if err != nil {
		return errors.Wrap(err, "parse configuration")
	}
	compiled, err := parser.Compile(revision, config)
	if err != nil {
		return errors.Wrap(err, "compile configuration")
	}
	applier.mutex.Lock()
	applier.current = compiled
	applier.document = document
	applier.mutex.Unlock()
	if applier.OnChange != nil {
		applier.OnChange(compiled)
	}
	return nil
}

// Conflict is the error of an Apply whose base revision is not the current one.
type Conflict struct {
	// Base is the revision on which the change was based, Revision the current revision.
	Base, Revision uint64
	// Current is the configuration at Revision, Proposed the configuration that was not applied.
	Current, Proposed parser.Config
}

func (conflict *Conflict) Error() string {
	return fmt.Sprintf("the configuration is at revision %d, but the change is based on revision %d",
		conflict.Revision, conflict.Base)
}

// Apply replaces the configuration by config if the current revision is base, and returns the new revision.
// Errors are a *Conflict or a *descriptor.Problem, except that an error of SetIfNewer after the write is returned
// as it is. In that case the configuration was written to the store but is not in force at this instance.
func (applier *Applier) Apply(ctx context.Context, base uint64, config parser.Config) (uint64, error) {
	document, err := json.Marshal(config)
	if err != nil {
		return 0, descriptor.NewProblem(descriptor.CodeInvalid, 0, "the configuration cannot be encoded: %v", err)
	}
	if _, err := parser.Parse(document); err != nil {
		return 0, invalidProblem(err)
	}
	entry, value, err := applier.read(ctx)
	if err != nil {
		return 0, err
	}
	// A stale read of the store may return an older revision than the instance has.
	if revision, current := applier.Document(); revision > value.Revision {
		value.Revision, value.Document = revision, current
	}
	if base != value.Revision {
		return 0, newConflict(base, value, config)
	}
	next := storedConfig{
		Revision: value.Revision + 1,
		WriteID:  uuid.NewString(),
		Document: document,
	}
	if err := applier.write(ctx, next, entry, config); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func invalidProblem(err error) *descriptor.Problem {
	problem := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the configuration is invalid")
	problem.Details = append(problem.Details, ErrorTexts(err)...)
	return problem
}

// ErrorTexts returns the messages of all errors that err joins, or the message of err itself.
func ErrorTexts(err error) []string {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{err.Error()}
	}
	var messages []string
	for _, part := range joined.Unwrap() {
		messages = append(messages, ErrorTexts(part)...)
	}
	return messages
}

func unavailableProblem(err error) *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter,
		"the store call failed, so the configuration was not applied: %v", err)
}

func (applier *Applier) read(ctx context.Context) (storer.Entry, storedConfig, error) {
	var value storedConfig
	entry, err := applier.Store.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Entry{}, value, nil
	}
	if err != nil {
		return entry, value, unavailableProblem(err)
	}
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return entry, value, descriptor.NewProblem(descriptor.CodeInternal, 0,
			"the configuration in the store cannot be decoded: %v", err)
	}
	return entry, value, nil
}

func newConflict(base uint64, value storedConfig, proposed parser.Config) error {
	// If the stored document can no longer be parsed, Current stays empty.
	current, _ := parser.Parse(value.Document)
	return &Conflict{
		Base:     base,
		Revision: value.Revision,
		Current:  current,
		Proposed: proposed,
	}
}

// maxWriteAttempts bounds the attempts of a write whose response is lost.
const maxWriteAttempts = 3

// write stores next over the version of entry. A write whose response was lost may still reach the store, so
// reading the old value back proves nothing: the same compare-and-swap is repeated until the store gives a
// definite response.
func (applier *Applier) write(ctx context.Context, next storedConfig, entry storer.Entry, config parser.Config) error {
	encoded, err := json.Marshal(next)
	if err != nil {
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "the configuration cannot be encoded: %v", err)
	}
	uncertain := false
	for range maxWriteAttempts {
		_, err = applier.Store.Put(ctx, Key, encoded, entry.Version, 0)
		switch {
		case err == nil:
			return applier.SetIfNewer(next.Revision, next.Document)
		case errors.Is(err, storer.ErrConflict):
			return applier.resolveConflict(ctx, next, uncertain, config)
		case errors.Is(err, storer.ErrUncertain):
			uncertain = true
		case uncertain:
			return uncertainProblem(next.Revision)
		default:
			return unavailableProblem(err)
		}
	}
	return uncertainProblem(next.Revision)
}

func uncertainProblem(revision uint64) error {
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"revision %d may or may not have been applied; get the current configuration and compare it", revision)
}

// resolveConflict reads the store after a conflict to determine whether it holds this write or another
// operator's. If an earlier attempt has an unknown outcome and the store holds a later revision, that revision
// may be based on this write, so the outcome remains uncertain.
func (applier *Applier) resolveConflict(ctx context.Context, next storedConfig, uncertain bool, config parser.Config) error {
	_, value, err := applier.read(ctx)
	switch {
	case err != nil && uncertain:
		return uncertainProblem(next.Revision)
	case err != nil:
		return err
	case value.WriteID == next.WriteID:
		return applier.SetIfNewer(next.Revision, next.Document)
	case uncertain && value.Revision > next.Revision:
		return uncertainProblem(next.Revision)
	default:
		return newConflict(next.Revision-1, value, config)
	}
}
