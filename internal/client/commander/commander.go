// Package commander implements the command line of pomelomoor. The main package supplies the functions
// that run an instance or the whole system, so that this package does not depend on their packages.
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
	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/work/descriptor"
)

// Exit codes, as documented in docs/commands.md.
const (
	ExitDone = 0
	// ExitFailed means a failure that no other code describes.
	ExitFailed = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitRefused means that a file or document is invalid, or that it requests something impossible.
	ExitRefused = 3
	// ExitNotFound means that no such job or resource exists.
	ExitNotFound = 4
	// ExitConflict means that the configuration was changed since its base revision, or that the key
	// belongs to another job.
	ExitConflict = 5
	// ExitTryAgain means that nothing was accepted or run, and that a later attempt may succeed.
	ExitTryAgain = 6
	// ExitUncertain means that the work may have been accepted or run.
	ExitUncertain = 7
	// ExitNotDone means that the job of --wait failed or did not run.
	ExitNotDone = 8
	// ExitDiffers means that diff --exit-code found changes.
	ExitDiffers = 9
	// ExitFindings and ExitUnreadable are the exit codes of config check for a configuration with errors or warnings, and
	// for a file that is not a configuration at all.
	ExitFindings   = 1
	ExitUnreadable = 2
)

// LocalOptions configure pomelomoor local.
type LocalOptions struct {
	// File is the path of the system description, for error messages.
	File     string
	Document []byte
	// JSON selects a report in JSON.
	JSON   bool
	Report io.Writer
	Log    *slog.Logger
}

// NodeOptions configure pomelomoor node.
type NodeOptions struct {
	// Settings is the path of the settings file; if empty, the platform supplies the path.
	Settings string
	// Check stops after checking the settings.
	Check    bool
	LogLevel slog.Level
	Stdout   io.Writer
}

// CellForm reads the form of configurations of a cell on the users' platform.
type CellForm struct {
	// Recognise reports whether a document has this form.
	Recognise func(document []byte) bool
	// Parse returns what can be read of a document, and all faults for which an instance refuses it.
	Parse func(document []byte) (checker.Cell, []error)
	// Field returns the path in a document of a field of the parsed configuration.
	Field func(path string) string
}

// Program holds the standard streams and the functions that the commands use.
type Program struct {
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	Version string
	// Entry runs an entry instance until it fails or ctx is cancelled, which starts a planned stop.
	Entry func(ctx context.Context, settings loader.Settings, log *slog.Logger) error
	// Node runs an instance of a cell on the users' platform until it fails or ctx is cancelled, which
	// starts a planned stop.
	Node func(ctx context.Context, options NodeOptions) error
	// Local runs the whole system in this process and writes a report.
	Local func(ctx context.Context, options LocalOptions) error
	// CellForm, if set, lets config check read configurations of a cell.
	CellForm *CellForm
}

// exitError is an error with a specific exit code. If err is nil, nothing is printed.
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

// grammar declares the flags and commands for kong.
type grammar struct {
	Server  []string      `env:"POMELOMOOR_SERVER" default:"127.0.0.1:8080" placeholder:"ADDRESS" help:"Address of an entry instance or balancer; may be repeated."`
	Output  string        `short:"o" enum:"table,json" default:"table" help:"Form of the output: table or json."`
	Timeout time.Duration `default:"30s" help:"Longest time of one call with its repetitions."`

	Entry     entryCommand     `cmd:"" help:"Run an entry instance until it is told to stop."`
	Node      nodeCommand      `cmd:"" help:"Run an instance of a cell on the users' platform until it is told to stop."`
	Apply     applyCommand     `cmd:"" help:"Put a configuration in force."`
	Get       getCommand       `cmd:"" help:"Print the configuration in force with its revision."`
	Diff      diffCommand      `cmd:"" help:"Show what a configuration would change."`
	Config    configCommand    `cmd:"" help:"Work with configuration files."`
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

// session holds what a command needs to run: the program, the client and the printer.
type session struct {
	*Program

	ctx     context.Context
	client  *caller.Client
	printer *printer.Printer
}

// Run parses arguments, runs the command and returns the exit code.
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
		// Kong printed the help text.
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

// report prints err to standard error and returns the exit code.
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

// readDocument returns the content of file, or of standard input if file is a hyphen. Content of more than
// maxBytes bytes is an error.
func (session *session) readDocument(file string, maxBytes int) ([]byte, error) {
	document, err := readFile(file, session.Stdin, int64(maxBytes))
	if err != nil {
		return nil, &exitError{
			code: ExitRefused,
			err:  err,
		}
	}
	return document, nil
}
