// Package commander is the command line of pomelomoor. The program sets the functions that run an
// entry instance or the whole system, so that this package does not depend on them.
package commander

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/client/printer"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/work/descriptor"
)

// The exit codes. docs/commands.md explains them.
const (
	ExitDone = 0
	// ExitFailed means a failure that no other code describes.
	ExitFailed = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitRefused means that a file or document has faults, or asks for what is impossible.
	ExitRefused = 3
	// ExitNotFound means that no such job or resource exists.
	ExitNotFound = 4
	// ExitConflict means that the configuration or the key is another's.
	ExitConflict = 5
	// ExitTryAgain means that nothing was accepted or run and a later attempt may succeed.
	ExitTryAgain = 6
	// ExitUncertain means that the work may have been accepted or run.
	ExitUncertain = 7
	// ExitNotDone means that the awaited job ended without being done.
	ExitNotDone = 8
	// ExitDiffers means that diff --exit-code found changes.
	ExitDiffers = 9
)

// LocalOptions are the arguments of pomelomoor local.
type LocalOptions struct {
	// File names the description of the system, for messages.
	File     string
	Document []byte
	// JSON asks for a report as JSON.
	JSON   bool
	Report io.Writer
	Log    *slog.Logger
}

// NodeOptions are the arguments of pomelomoor node.
type NodeOptions struct {
	// Settings is the path of the settings file; empty for the one that the platform names.
	Settings string
	// Check ends after the settings are checked.
	Check    bool
	LogLevel slog.Level
	Stdout   io.Writer
}

// Program is the command line with its surroundings.
type Program struct {
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Version string
	// Entry runs an entry instance until ctx ends, which is a planned stop, or until it fails.
	Entry func(ctx context.Context, settings loader.Settings, log *slog.Logger) error
	// Node runs an instance of a cell on the users' platform until ctx ends, which is a planned stop.
	Node func(ctx context.Context, options NodeOptions) error
	// Local runs the whole system in this process and reports.
	Local func(ctx context.Context, options LocalOptions) error
}

// exitError is an error with its own exit code. A nil err prints nothing.
type exitError struct {
	code int
	err  error
}

func (exitError *exitError) Error() string {
	if exitError.err == nil {
		return fmt.Sprintf("exit code %d", exitError.code)
	}
	return exitError.err.Error()
}

func (exitError *exitError) Unwrap() error {
	return exitError.err
}

// grammar is the command line as kong reads it.
type grammar struct {
	Server  []string      `env:"POMELOMOOR_SERVER" default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"Address of an entry instance or balancer; may be repeated."`
	Output  string        `short:"o" enum:"table,json" default:"table" help:"Form of the output: table or json."`
	Timeout time.Duration `default:"30s" help:"Longest time of one call with its repetitions."`

	Entry     entryCommand     `cmd:"" help:"Run an entry instance until it is told to stop."`
	Node      nodeCommand      `cmd:"" help:"Run an instance of a cell on the users' platform until it is told to stop."`
	Apply     applyCommand     `cmd:"" help:"Put a configuration in force."`
	Get       getCommand       `cmd:"" help:"Print the configuration in force with its revision."`
	Diff      diffCommand      `cmd:"" help:"Show what a configuration would change."`
	Submit    submitCommand    `cmd:"" help:"Submit a job and print its ID."`
	Status    statusCommand    `cmd:"" help:"Show the state of a job."`
	Cancel    cancelCommand    `cmd:"" help:"End a job."`
	Explain   explainCommand   `cmd:"" help:"Show the decisions about a job."`
	Drain     drainCommand     `cmd:"" help:"Begin the planned stop of the instance at --server."`
	Instances instancesCommand `cmd:"" help:"List the entry instances and shards."`
	Settings  settingsCommand  `cmd:"" help:"Work with settings files of entry instances."`
	Local     localCommand     `cmd:"" help:"Run the whole system in one process and report."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// session is what a command works with.
type session struct {
	*Program

	ctx     context.Context
	client  *caller.Client
	printer *printer.Printer
}

// Run carries out the command line in arguments and returns the exit code.
func (program *Program) Run(ctx context.Context, arguments []string) int {
	var grammar grammar
	exited := false
	parser, err := kong.New(&grammar,
		kong.Name("pomelomoor"),
		kong.Description("Cluster scheduler for services, deadline batches, gang jobs and interactive requests."),
		kong.Writers(program.Stdout, program.Stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
	)
	if err != nil {
		return program.report(err)
	}
	parsed, err := parser.Parse(arguments)
	switch {
	case exited:
		// The help was printed.
		return ExitDone
	case err != nil:
		return program.report(&exitError{
			code: ExitUsage,
			err:  errors.Errorf("%s; see pomelomoor --help", err),
		})
	}
	session := &session{
		Program: program,
		ctx:     ctx,
		client: &caller.Client{
			Servers: grammar.Server,
			Timeout: grammar.Timeout,
		},
		printer: &printer.Printer{
			Writer: program.Stdout,
			JSON:   grammar.Output == "json",
		},
	}
	return program.report(parsed.Run(session))
}

// report prints err on standard error and returns the exit code.
func (program *Program) report(err error) int {
	if err == nil {
		return ExitDone
	}
	output := printer.Printer{
		Writer: program.Stderr,
	}
	code := exitCode(err)
	var conflict *presenter.Conflict
	var problem *descriptor.Problem
	var exit *exitError
	switch {
	case errors.As(err, &exit) && exit.err == nil:
		return code
	case errors.As(err, &conflict):
		_ = output.Conflict(conflict)
	case errors.As(err, &problem):
		_ = output.Problem(problem)
	default:
		_, _ = fmt.Fprintf(program.Stderr, "pomelomoor: %s\n", err)
	}
	return code
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var fieldError *descriptor.FieldError
	if errors.As(err, &fieldError) {
		return ExitRefused
	}
	var problem *descriptor.Problem
	if !errors.As(err, &problem) {
		return ExitFailed
	}
	switch problem.Code {
	case descriptor.CodeInvalid, descriptor.CodeImpossible, descriptor.CodeTooLarge, descriptor.CodeWrongType:
		return ExitRefused
	case descriptor.CodeNotFound:
		return ExitNotFound
	case descriptor.CodeConflict, descriptor.CodeKeyConflict:
		return ExitConflict
	case descriptor.CodeOverloaded, descriptor.CodeUnavailable, descriptor.CodeDraining, descriptor.CodeDeadline:
		return ExitTryAgain
	case descriptor.CodeUncertain:
		return ExitUncertain
	default:
		return ExitFailed
	}
}

// read returns the content of a file, or of standard input for a hyphen, up to limit bytes.
func (session *session) read(file string, limit int) ([]byte, error) {
	document, err := readFile(file, session.Stdin, int64(limit))
	if err != nil {
		return nil, &exitError{
			code: ExitRefused,
			err:  err,
		}
	}
	return document, nil
}
