// Command measure prints measurements of both deployments compared with baselines, or the slopes of all costs.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/coordinator"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/measure/comparer"
	"pomelomoor/internal/measure/tabulator"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/trial/simulator"
)

type command struct {
	Table  tableCommand  `cmd:"" default:"withargs" help:"Measurements of both deployments compared with baselines, from one seed."`
	Slopes slopesCommand `cmd:"" help:"How much each cost grows with each size, as in docs/CAPACITY.md."`
	Fleet  fleetCommand  `cmd:"" help:"What tasks that crash their workers, and other disturbances, cost the other jobs of a cell, in virtual time."`
}

type tableCommand struct {
	Seed     uint64 `default:"1" help:"Seed of all random choices."`
	Output   string `default:"table" enum:"table,json" help:"Format: table or json."`
	Live     bool   `default:"true" negatable:"" help:"Also run each deployment with all its processes in this one, which takes most of a minute each."`
	Examples string `default:"examples" type:"existingdir" help:"Directory of the deployments' files."`
}

type fleetCommand struct {
	Seed  uint64   `help:"Seed of all random choices; 0 takes that of each file."`
	Files []string `arg:"" type:"existingfile" help:"Descriptions of fleets, such as internal/trial/simulator/testdata/crash-at-start.json."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var command command
	parsed := kong.Parse(&command,
		kong.Name("measure"),
		kong.Description("Measurements of the deployments and of the system's costs."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}

// Run measures the deployments one after the other.
func (command *tableCommand) Run(ctx context.Context) error {
	var rows []comparer.Row
	for _, deployment := range comparer.Deployments() {
		if command.Live {
			report, err := command.runLocal(ctx, deployment.Name)
			if err != nil {
				return errors.Wrap(err, deployment.Name)
			}
			deployment.Live = &report
		}
		compared, err := comparer.Compare(deployment, command.Seed)
		if err != nil {
			return errors.Wrap(err, deployment.Name)
		}
		rows = append(rows, compared...)
	}
	if command.Output == "json" {
		return comparer.WriteJSON(os.Stdout, rows)
	}
	return comparer.WriteTable(os.Stdout, rows)
}

// Run plays the fleets one after the other.
func (command *fleetCommand) Run() error {
	var names []string
	var reports []simulator.Report
	for _, file := range command.Files {
		fleet, err := simulator.Load(file)
		if err != nil {
			return err
		}
		if command.Seed != 0 {
			fleet.Seed = command.Seed
		}
		report, err := simulator.Play(fleet)
		if err != nil {
			return errors.Wrap(err, file)
		}
		names = append(names, strings.TrimSuffix(filepath.Base(file), ".json"))
		reports = append(reports, report)
	}
	return simulator.WriteTable(os.Stdout, names, reports)
}

// runLocal runs a deployment from its scenario file in this process, with the seed of the command.
func (command *tableCommand) runLocal(ctx context.Context, name string) (reporter.Report, error) {
	document, err := os.ReadFile(filepath.Join(command.Examples, strings.ToLower(name)+".json"))
	if err != nil {
		return reporter.Report{}, err
	}
	scenario, err := planner.Parse(document)
	if err != nil {
		return reporter.Report{}, err
	}
	scenario.Seed = command.Seed
	return coordinator.Run(ctx, coordinator.Options{
		Scenario: scenario,
		Build:    buildEntry,
		Progress: os.Stderr,
	})
}

type slopesCommand struct {
	Only string `default:"." help:"Regular expression of the subjects to measure."`
}

// Run measures the subjects one after the other.
func (command *slopesCommand) Run(ctx context.Context) error {
	subjectPattern, err := regexp.Compile(command.Only)
	if err != nil {
		return err
	}
	slopes, err := tabulator.MeasureSlopes(ctx, subjectPattern)
	if err != nil {
		return err
	}
	return tabulator.WriteTable(os.Stdout, slopes)
}

func buildEntry(settings loader.Settings, dial sender.DialFunc, log *slog.Logger) (launcher.Instance, func(), error) {
	return assembler.New(assembler.Options{
		Settings: settings,
		Dial:     dial,
		Log:      log,
	})
}
