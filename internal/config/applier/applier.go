// Package applier applies the operators' configuration through the store and keeps the
// newest one in force at an entry instance.
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

// retryAfter is what operators are told to wait while the store does not answer.
const retryAfter = 5 * time.Second

// Pauses of the watch after a failure.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

// stored is the value of Key.
type stored struct {
	Revision uint64
	// WriteID tells a writer whose answer was lost whether the value is its own.
	WriteID  string
	Document json.RawMessage
}

// Applier holds the configuration in force. Store has to be set.
type Applier struct {
	Store storer.Store
	// OnChange is called, one call at a time, with each newer configuration.
	OnChange func(*parser.Compiled)

	changing sync.Mutex
	mutex    sync.Mutex
	current  *parser.Compiled
	document []byte
	version  storer.Version
	// answered tells that the store answered once, even that there is no configuration.
	answered bool
}

// Current returns the configuration in force. Revision 0 is the empty one.
func (applier *Applier) Current() *parser.Compiled {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	if applier.current == nil {
		return &parser.Compiled{}
	}
	return applier.current
}

// Known reports whether the instance knows the configuration in force: the store has told it, or that
// there is none, or a peer has.
func (applier *Applier) Known() bool {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	return applier.answered || applier.current != nil
}

// Document returns the configuration in force as it was applied, with its revision.
func (applier *Applier) Document() (uint64, []byte) {
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	if applier.current == nil {
		return 0, []byte("{}")
	}
	return applier.current.Revision, applier.document
}

// Serve reads the configuration and watches the store until ctx ends. A watch alone would not answer
// while there is no configuration.
func (applier *Applier) Serve(ctx context.Context) error {
	pause := firstPause
	next := applier.first
	for ctx.Err() == nil {
		err := next(ctx)
		if err == nil {
			pause = firstPause
			next = applier.watch
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, longestPause)
	}
	return ctx.Err()
}

func (applier *Applier) first(ctx context.Context) error {
	entry, err := applier.Store.Get(ctx, Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	return applier.take(entry)
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
	return applier.take(entry)
}

// take puts a value of the store in force if it is newer.
func (applier *Applier) take(entry storer.Entry) error {
	var value stored
	if len(entry.Value) > 0 {
		if err := json.Unmarshal(entry.Value, &value); err != nil {
			return errors.Wrap(err, "configuration in the store")
		}
		if err := applier.Offer(value.Revision, value.Document); err != nil {
			return err
		}
	}
	applier.mutex.Lock()
	defer applier.mutex.Unlock()
	// A stale answer must not move the watch back, or it would return at once for ever.
	applier.version = max(applier.version, entry.Version)
	applier.answered = true
	return nil
}

// Offer puts a configuration in force if its revision is higher than the current one.
// It comes from the store or from a peer.
func (applier *Applier) Offer(revision uint64, document []byte) error {
	applier.changing.Lock()
	defer applier.changing.Unlock()
	if revision <= applier.Current().Revision {
		return nil
	}
	config, err := parser.Parse(document)
	if err != nil {
		return errors.Wrap(err, "offered configuration")
	}
	compiled, err := parser.Compile(revision, config)
	if err != nil {
		return errors.Wrap(err, "offered configuration")
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

// Conflict is the error of an Apply that was based on an older revision than the current one.
type Conflict struct {
	// Base is the revision on which the change was based, Revision the current one.
	Base, Revision uint64
	// Current is the configuration of Revision, Proposed the one that was not applied.
	Current, Proposed parser.Config
}

func (conflict *Conflict) Error() string {
	return fmt.Sprintf("the configuration is at revision %d, not at %d on which this change is based",
		conflict.Revision, conflict.Base)
}

// Apply makes config the configuration if the current revision is base. It returns the new revision,
// a *Conflict, or a *descriptor.Problem.
func (applier *Applier) Apply(ctx context.Context, base uint64, config parser.Config) (uint64, error) {
	document, err := json.Marshal(config)
	if err != nil {
		return 0, descriptor.NewProblem(descriptor.CodeInvalid, 0, "the configuration cannot be written: %v", err)
	}
	if _, err := parser.Parse(document); err != nil {
		return 0, invalid(err)
	}
	entry, value, err := applier.read(ctx)
	if err != nil {
		return 0, err
	}
	// The instance may know a newer revision than a stale answer of the store has.
	if revision, known := applier.Document(); revision > value.Revision {
		value.Revision, value.Document = revision, known
	}
	if base != value.Revision {
		return 0, conflict(base, value, config)
	}
	next := stored{
		Revision: value.Revision + 1,
		WriteID:  uuid.NewString(),
		Document: document,
	}
	if err := applier.write(ctx, next, entry, config); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func invalid(err error) *descriptor.Problem {
	problem := descriptor.NewProblem(descriptor.CodeInvalid, 0, "the configuration has faults")
	problem.Details = append(problem.Details, Faults(err)...)
	return problem
}

// Faults returns the single messages of joined errors.
func Faults(err error) []string {
	var list interface{ Unwrap() []error }
	if !errors.As(err, &list) {
		return []string{err.Error()}
	}
	var messages []string
	for _, single := range list.Unwrap() {
		messages = append(messages, Faults(single)...)
	}
	return messages
}

func unavailable(err error) *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter,
		"the configuration store does not answer, so nothing was applied: %v", err)
}

func (applier *Applier) read(ctx context.Context) (storer.Entry, stored, error) {
	var value stored
	entry, err := applier.Store.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return storer.Entry{}, value, nil
	}
	if err != nil {
		return entry, value, unavailable(err)
	}
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return entry, value, descriptor.NewProblem(descriptor.CodeInternal, 0,
			"the store holds a configuration that cannot be read: %v", err)
	}
	return entry, value, nil
}

func conflict(base uint64, value stored, proposed parser.Config) error {
	// The current side stays empty when the store's document cannot be read any more.
	current, _ := parser.Parse(value.Document)
	return &Conflict{
		Base:     base,
		Revision: value.Revision,
		Current:  current,
		Proposed: proposed,
	}
}

// writeAttempts bounds how often a write with a lost answer is repeated.
const writeAttempts = 3

// write stores the value. A write whose answer was lost may still be on its way, so its absence
// proves nothing: the same compare-and-swap is repeated until the store gives a definite answer.
func (applier *Applier) write(ctx context.Context, next stored, entry storer.Entry, config parser.Config) error {
	text, err := json.Marshal(next)
	if err != nil {
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "the configuration cannot be written: %v", err)
	}
	uncertain := false
	for range writeAttempts {
		_, err = applier.Store.Put(ctx, Key, text, entry.Version, 0)
		switch {
		case err == nil:
			return applier.Offer(next.Revision, next.Document)
		case errors.Is(err, storer.ErrConflict):
			return applier.resolve(ctx, next, uncertain, config)
		case errors.Is(err, storer.ErrUncertain):
			uncertain = true
		case uncertain:
			return uncertainProblem(next.Revision)
		default:
			return unavailable(err)
		}
	}
	return uncertainProblem(next.Revision)
}

func uncertainProblem(revision uint64) error {
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"revision %d may or may not have been applied; get the configuration and compare", revision)
}

// resolve tells after a conflict whether the store holds this write or another operator's.
// A later revision may stand on top of an earlier attempt of this write, which leaves the outcome open.
func (applier *Applier) resolve(ctx context.Context, next stored, uncertain bool, config parser.Config) error {
	_, value, err := applier.read(ctx)
	switch {
	case err != nil && uncertain:
		return uncertainProblem(next.Revision)
	case err != nil:
		return err
	case value.WriteID == next.WriteID:
		return applier.Offer(next.Revision, next.Document)
	case uncertain && value.Revision > next.Revision:
		return uncertainProblem(next.Revision)
	default:
		return conflict(next.Revision-1, value, config)
	}
}
