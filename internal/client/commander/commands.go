package commander

import (
	"crypto/rand"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/work/descriptor"
)

// errUnsupportedCommand is returned if Program has no function for the command.
var errUnsupportedCommand = errors.New("this program was built without support for the command")

type entryCommand struct {
	Settings string     `required:"" placeholder:"FILE" help:"Settings file of the instance, in JSON."`
	LogLevel slog.Level `default:"INFO" help:"Least level of events to log: DEBUG, INFO, WARN or ERROR."`
}

// Run logs to standard error.
func (command *entryCommand) Run(session *session) error {
	if session.Entry == nil {
		return errUnsupportedCommand
	}
	log := logger.New(session.Stderr, command.LogLevel)
	settings, err := session.readSettings(command.Settings)
	if err != nil {
		logger.Log(session.ctx, log, logger.EventSettingsRefused, slog.String("File", command.Settings), logger.Error(err))
		return err
	}
	return session.Entry(session.ctx, settings, log)
}

type nodeCommand struct {
	Settings string     `placeholder:"FILE" help:"Settings file in the platform's format; by default the one that the platform names in the environment."`
	Check    bool       `help:"Check the settings, print all faults and exit."`
	LogLevel slog.Level `default:"INFO" help:"Least level of events to log: DEBUG, INFO, WARN or ERROR."`
}

// Run logs to standard output.
func (command *nodeCommand) Run(session *session) error {
	if session.Node == nil {
		return errUnsupportedCommand
	}
	return session.Node(session.ctx, NodeOptions{
		Settings: command.Settings,
		Check:    command.Check,
		LogLevel: command.LogLevel,
		Stdout:   session.Stdout,
	})
}

type applyCommand struct {
	File string        `arg:"" help:"Configuration, or the edited output of get; - is standard input."`
	Base string        `placeholder:"REVISION" help:"Revision that the file is based on, or current to overwrite what is in force. The output of get contains it."`
	Wait time.Duration `default:"10s" help:"How long to wait until all instances have confirmed."`
}

func (command *applyCommand) Run(session *session) error {
	config, revision, hasRevision, err := session.readConfig(command.File)
	if err != nil {
		return err
	}
	base, err := session.resolveBase(command.Base, revision, hasRevision)
	if err != nil {
		return err
	}
	applied, err := session.client.Apply(session.ctx, base, config, command.Wait)
	if err != nil {
		return err
	}
	return session.printer.Applied(applied)
}

type getCommand struct{}

func (*getCommand) Run(session *session) error {
	config, err := session.client.Config(session.ctx)
	if err != nil {
		return err
	}
	return session.printer.Config(config)
}

type diffCommand struct {
	File     string `arg:"" help:"Configuration, or the edited output of get; - is standard input."`
	ExitCode bool   `help:"Exit with code 9 when there are changes."`
}

func (command *diffCommand) Run(session *session) error {
	config, _, _, err := session.readConfig(command.File)
	if err != nil {
		return err
	}
	difference, err := session.client.Diff(session.ctx, config)
	if err != nil {
		return err
	}
	if err := session.printer.Difference(difference); err != nil {
		return err
	}
	if command.ExitCode && len(difference.Changes) > 0 {
		return &exitError{
			code: ExitDiffers,
		}
	}
	return nil
}

type submitCommand struct {
	File string        `arg:"" help:"Job description in JSON; - is standard input."`
	Key  string        `help:"Idempotency key; it replaces the one in the file. Without any, a random one is used."`
	Wait bool          `help:"Wait until the job has ended and print its state."`
	Poll time.Duration `default:"1s" help:"Least time between queries of --wait. A query itself lasts until the job has ended or some seconds have passed."`
}

func (command *submitCommand) Run(session *session) error {
	document, err := session.readDocument(command.File, presenter.MaxJobDocumentBytes)
	if err != nil {
		return err
	}
	job, err := presenter.ParseJob(document)
	if err != nil {
		return errors.Wrap(err, command.File)
	}
	if command.Key != "" {
		job.Key = command.Key
	}
	if job.Key == "" {
		// With a key, the client can retry the call without submitting the job twice.
		job.Key = rand.Text()
	}
	status, _, err := session.client.Submit(session.ctx, job)
	if err != nil {
		return err
	}
	if !command.Wait {
		return session.printer.Submitted(status)
	}
	return session.await(status, command.Poll)
}

// longPollWait is the longest time for which the server holds one query of a job that has not ended.
const longPollWait = 10 * time.Second

// await queries a job until its fate is final or unknown, and prints its state.
func (session *session) await(status descriptor.JobStatus, poll time.Duration) error {
	for {
		code := 0
		switch status.Fate.Fate {
		case "Done":
		case "Unknown":
			code = ExitUncertain
		case "Failed", "NotRun":
			code = ExitNotDone
		default:
			next, err := session.queryOnce(status.ID, poll)
			if err != nil {
				return err
			}
			status = next
			continue
		}
		err := session.printer.Status(status)
		if err == nil && code != 0 {
			return &exitError{
				code: code,
			}
		}
		return err
	}
}

// queryOnce queries a job once with a long poll. If the job has not ended, queryOnce takes at least interval,
// because an instance that is stopping answers long polls immediately.
func (session *session) queryOnce(id descriptor.JobID, interval time.Duration) (descriptor.JobStatus, error) {
	start := time.Now()
	status, err := session.client.Await(session.ctx, id, longPollWait)
	if err != nil || status.Fate.Final() {
		return status, err
	}
	if err := caller.Sleep(session.ctx, time.Until(start.Add(interval))); err != nil {
		return status, errors.Wrapf(err, "stopped waiting for job %s", id)
	}
	return status, nil
}

type statusCommand struct {
	ID   descriptor.JobID `arg:"" help:"ID of the job."`
	Wait bool             `help:"Wait until the job has ended."`
	Poll time.Duration    `default:"1s" help:"Least time between queries of --wait."`
}

func (command *statusCommand) Run(session *session) error {
	if command.Wait {
		status, err := session.client.Status(session.ctx, command.ID, false)
		if err != nil {
			return err
		}
		return session.await(status, command.Poll)
	}
	return session.printStatus(session.client.Status(session.ctx, command.ID, false))
}

type explainCommand struct {
	ID descriptor.JobID `arg:"" help:"ID of the job."`
}

func (command *explainCommand) Run(session *session) error {
	return session.printStatus(session.client.Status(session.ctx, command.ID, true))
}

type cancelCommand struct {
	ID descriptor.JobID `arg:"" help:"ID of the job."`
}

func (command *cancelCommand) Run(session *session) error {
	return session.printStatus(session.client.Cancel(session.ctx, command.ID))
}

func (session *session) printStatus(status descriptor.JobStatus, err error) error {
	if err != nil {
		return err
	}
	return session.printer.Status(status)
}

type drainCommand struct{}

func (*drainCommand) Run(session *session) error {
	if len(session.client.Servers) != 1 {
		return &exitError{
			code: ExitUsage,
			err:  errors.New("drain needs one --server, the address of the instance itself"),
		}
	}
	state, err := session.client.Drain(session.ctx)
	if err != nil {
		return err
	}
	return session.printer.Message(state, "%s is draining", session.client.Servers[0])
}

type instancesCommand struct{}

func (*instancesCommand) Run(session *session) error {
	instances, err := session.client.Instances(session.ctx)
	if err != nil {
		return err
	}
	return session.printer.Instances(instances)
}

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and report all its faults."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file; - is standard input."`
}

// Run prints the settings with their defaults as JSON on request.
func (command *settingsCheckCommand) Run(session *session) error {
	settings, err := session.readSettings(command.File)
	if err != nil {
		return err
	}
	return session.printer.Message(settings, "%s is valid", command.File)
}

type localCommand struct {
	File     string     `arg:"" help:"Description of the system and its load, in JSON."`
	LogLevel slog.Level `default:"WARN" help:"Least level of events to log: DEBUG, INFO, WARN or ERROR."`
}

// maxLocalDocumentBytes is the maximum size of the system description for the local command.
const maxLocalDocumentBytes = 4 << 20

func (command *localCommand) Run(session *session) error {
	if session.Local == nil {
		return errUnsupportedCommand
	}
	document, err := session.readDocument(command.File, maxLocalDocumentBytes)
	if err != nil {
		return err
	}
	return session.Local(session.ctx, LocalOptions{
		File:     command.File,
		Document: document,
		JSON:     session.printer.JSON,
		Report:   session.Stdout,
		Log:      logger.New(session.Stderr, command.LogLevel),
	})
}

type versionCommand struct{}

func (*versionCommand) Run(session *session) error {
	return session.printer.Message(map[string]string{"Version": session.Version}, "pomelomoor %s", session.Version)
}
