// Package supervisor runs the components of a process in a tree with restart limits.
// A component that panics or fails is logged and restarted. A subtree whose components fail too
// often gives up, which ends the whole tree: a fresh process is safer than one with a part missing.
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

// Limits tell when a subtree gives up. Zero fields take the defaults.
type Limits struct {
	// Failures is the number of failures that are borne within the decay.
	Failures int
	// Decay is the time in which the count of failures falls to half.
	Decay time.Duration
	// Stop is how long a component may take to end.
	Stop time.Duration
}

// The defaults of Limits.
const (
	DefaultFailures = 5
	DefaultDecay    = 30 * time.Second
	DefaultStop     = 10 * time.Second
)

// GaveUp is the error of a tree one of whose subtrees exceeded its limits.
type GaveUp struct {
	Subtree string
}

func (gaveUp *GaveUp) Error() string {
	return fmt.Sprintf("supervisor: %s failed too often", gaveUp.Subtree)
}

// Supervisor is one node of the tree.
type Supervisor struct {
	name   string
	log    *slog.Logger
	limits Limits
	tree   *suture.Supervisor
	// gaveUp receives the first failure of the whole tree.
	gaveUp chan *GaveUp
}

// New returns the root of a tree. A nil log discards all events.
func New(name string, log *slog.Logger, limits Limits) *Supervisor {
	return build(name, log, limits, make(chan *GaveUp, 1))
}

func build(name string, log *slog.Logger, limits Limits, gaveUp chan *GaveUp) *Supervisor {
	if limits.Failures == 0 {
		limits.Failures = DefaultFailures
	}
	if limits.Decay == 0 {
		limits.Decay = DefaultDecay
	}
	if limits.Stop == 0 {
		limits.Stop = DefaultStop
	}
	supervisor := &Supervisor{
		name:   name,
		log:    log,
		limits: limits,
		gaveUp: gaveUp,
	}
	supervisor.tree = suture.New(name, suture.Spec{
		EventHook:                supervisor.event,
		FailureDecay:             limits.Decay.Seconds(),
		FailureThreshold:         float64(limits.Failures),
		Timeout:                  limits.Stop,
		DontPropagateTermination: true,
	})
	return supervisor
}

// Child adds a subtree with the same limits and its own count of failures.
func (supervisor *Supervisor) Child(name string) *Supervisor {
	child := build(supervisor.name+"/"+name, supervisor.log, supervisor.limits, supervisor.gaveUp)
	supervisor.tree.Add(subtree{
		Supervisor: child.tree,
	})
	return child
}

// subtree hides suture.HasSupervisor, because suture would replace the child's event hook,
// which names the subtree.
type subtree struct {
	Supervisor interface {
		Serve(ctx context.Context) error
	}
}

func (subtree subtree) Serve(ctx context.Context) error {
	return subtree.Supervisor.Serve(ctx)
}

// Add runs serve as a component until the tree stops or remove is called, which waits for its end.
// When serve returns nil the component is finished; it is restarted after an error or panic.
func (supervisor *Supervisor) Add(name string, serve func(ctx context.Context) error) (remove func() error) {
	token := supervisor.tree.Add(&component{
		name:  name,
		serve: serve,
	})
	return func() error {
		err := supervisor.tree.RemoveAndWait(token, supervisor.limits.Stop)
		if err == nil || errors.Is(err, suture.ErrSupervisorNotRunning) {
			return nil
		}
		return errors.Wrapf(err, "remove %s", name)
	}
}

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

// Serve runs the tree until ctx ends and all components have stopped, and returns nil;
// or until a subtree gives up, and returns a *GaveUp.
func (supervisor *Supervisor) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := supervisor.tree.ServeBackground(ctx)
	select {
	case <-ended:
	case gaveUp := <-supervisor.gaveUp:
		cancel()
		<-ended
		return gaveUp
	}
	select {
	case gaveUp := <-supervisor.gaveUp:
		return gaveUp
	default:
		return nil
	}
}

// event logs what suture reports. It is called in the supervisor's goroutine and does not block.
func (supervisor *Supervisor) event(event suture.Event) {
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
		logger.Log(ctx, supervisor.log, logger.EventComponentRestarted, subtree,
			slog.String("Component", event.ServiceName),
			slog.Bool("Restarted", event.Restarting),
			slog.String("Error", fmt.Sprint(event.Err)))
	case suture.EventStopTimeout:
		logger.Log(ctx, supervisor.log, logger.EventComponentStuck, subtree,
			slog.String("Component", event.ServiceName))
	case suture.EventBackoff:
		logger.Log(ctx, supervisor.log, logger.EventComponentGaveUp, subtree)
		select {
		case supervisor.gaveUp <- &GaveUp{Subtree: supervisor.name}:
		default:
		}
	}
}
