// Package supervisor runs the components of a process in a supervision tree with failure limits.
// A component that panics or returns an error is logged and restarted. A subtree whose components fail too
// often gives up, which ends the whole tree, because a new process is safer than one without some of its
// components.
package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"pomelomoor/internal/node/logger"
)

// Limits determine when a subtree gives up and how long it waits at a stop. Zero fields mean the defaults.
type Limits struct {
	// MaxFailures is the number of failures, halved every HalfLife, above which a subtree gives up.
	MaxFailures int
	// HalfLife is the time after which earlier failures count half.
	HalfLife time.Duration
	// StopTimeout is how long a component may take to return after its context is cancelled.
	StopTimeout time.Duration
}

// The defaults of the fields of Limits.
const (
	DefaultMaxFailures = 5
	DefaultHalfLife    = 30 * time.Second
	DefaultStopTimeout = 10 * time.Second
)

// GaveUpError reports that a subtree exceeded its failure limit and ended the whole tree.
type GaveUpError struct {
	// Subtree is the path of names from the root to the subtree, separated by slashes.
	Subtree string
}

func (gaveUpError *GaveUpError) Error() string {
	return fmt.Sprintf("supervisor: %s failed too often", gaveUpError.Subtree)
}

// Supervisor is the root of a supervision tree or of one of its subtrees.
type Supervisor struct {
	name   string
	log    *slog.Logger
	limits Limits
	tree   *suture.Supervisor
	// gaveUp is shared by the whole tree and receives the error of the first subtree that gives up.
	gaveUp chan *GaveUpError
}

// New returns the root of a tree. A nil log discards all events.
func New(name string, log *slog.Logger, limits Limits) *Supervisor {
	return newSupervisor(name, log, limits, make(chan *GaveUpError, 1))
}

// newSupervisor returns a node of a tree whose nodes share gaveUp.
func newSupervisor(name string, log *slog.Logger, limits Limits, gaveUp chan *GaveUpError) *Supervisor {
	if limits.MaxFailures == 0 {
		limits.MaxFailures = DefaultMaxFailures
	}
	if limits.HalfLife == 0 {
		limits.HalfLife = DefaultHalfLife
	}
	if limits.StopTimeout == 0 {
		limits.StopTimeout = DefaultStopTimeout
	}
	supervisor := &Supervisor{
		name:   name,
		log:    log,
		limits: limits,
		gaveUp: gaveUp,
	}
	supervisor.tree = suture.New(name, suture.Spec{
		EventHook:                supervisor.logEvent,
		FailureDecay:             limits.HalfLife.Seconds(),
		FailureThreshold:         float64(limits.MaxFailures),
		Timeout:                  limits.StopTimeout,
		DontPropagateTermination: true,
	})
	return supervisor
}

// AddSubtree adds a subtree with the same limits and a separate count of failures.
func (supervisor *Supervisor) AddSubtree(name string) *Supervisor {
	child := newSupervisor(supervisor.name+"/"+name, supervisor.log, supervisor.limits, supervisor.gaveUp)
	supervisor.tree.Add(subtree{
		Supervisor: child.tree,
	})
	return child
}

// subtree hides the method of suture.HasSupervisor. Suture would otherwise replace the event hook of the child,
// which logs the name of the subtree, by that of the parent.
type subtree struct {
	Supervisor interface {
		Serve(ctx context.Context) error
	}
}

func (subtree subtree) Serve(ctx context.Context) error {
	return subtree.Supervisor.Serve(ctx)
}

// Add runs serve as a component until the tree stops or remove is called. The function remove cancels
// the context of serve and waits until serve returns. If that takes longer than StopTimeout, it returns an error.
// A component whose serve returns nil is finished; after an error or a panic it is restarted.
func (supervisor *Supervisor) Add(name string, serve func(ctx context.Context) error) (remove func() error) {
	token := supervisor.tree.Add(&component{
		name:  name,
		serve: serve,
	})
	return func() error {
		err := supervisor.tree.RemoveAndWait(token, supervisor.limits.StopTimeout)
		if err == nil || errors.Is(err, suture.ErrSupervisorNotRunning) {
			return nil
		}
		return errors.Wrapf(err, "remove %s", name)
	}
}

// component implements suture.Service.
type component struct {
	name  string
	serve func(ctx context.Context) error
}

func (component *component) Serve(ctx context.Context) error {
	err := component.serve(ctx)
	if err == nil || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return err
}

func (component *component) String() string {
	return component.name
}

// Serve runs the tree. It returns nil after ctx is cancelled and all components have stopped, and a
// *GaveUpError after a subtree gave up.
func (supervisor *Supervisor) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := supervisor.tree.ServeBackground(ctx)
	select {
	case <-done:
	case gaveUp := <-supervisor.gaveUp:
		cancel()
		<-done
		return gaveUp
	}
	select {
	case gaveUp := <-supervisor.gaveUp:
		return gaveUp
	default:
		return nil
	}
}

// logEvent logs an event of suture and reports to Serve that the subtree gave up. It is called in the
// supervisor's goroutine and must not block.
func (supervisor *Supervisor) logEvent(event suture.Event) {
	ctx := context.Background()
	subtree := slog.String("Subtree", supervisor.name)
	switch event := event.(type) {
	case suture.EventServicePanic:
		logger.Log(ctx, supervisor.log, logger.EventComponentPanicked, subtree,
			slog.String("Component", event.ServiceName),
			slog.String("Panic", event.PanicMsg),
			slog.Bool("Restarted", event.Restarting),
			slog.String("Stack", event.Stacktrace))
	case suture.EventServiceTerminate:
		// The event is the same when the component is not restarted; then Restarted is false.
		logger.Log(ctx, supervisor.log, logger.EventComponentRestarted, subtree,
			slog.String("Component", event.ServiceName),
			slog.Bool("Restarted", event.Restarting),
			slog.String("Error", fmt.Sprint(event.Err)))
	case suture.EventStopTimeout:
		logger.Log(ctx, supervisor.log, logger.EventComponentStuck, subtree,
			slog.String("Component", event.ServiceName))
	case suture.EventBackoff:
		// Above its failure limit, suture pauses the restarts of a subtree for a backoff time and then resumes.
		// Here the subtree gives up instead: Serve ends the whole tree during that pause.
		logger.Log(ctx, supervisor.log, logger.EventComponentGaveUp, subtree)
		select {
		case supervisor.gaveUp <- &GaveUpError{Subtree: supervisor.name}:
		default:
		}
	}
}
