// Command measure prints the measures of both deployments against baselines, or the slopes of all costs.
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
)

type command struct {
	Table  tableCommand  `cmd:"" default:"withargs" help:"Measures of both deployments against baselines, from one seed."`
	Slopes slopesCommand `cmd:"" help:"What each cost grows by with each size, as in docs/CAPACITY.md."`
}

type tableCommand struct {
	Seed     uint64 `default:"1" help:"Seed of all random choices."`
	Output   string `default:"table" enum:"table,json" help:"Format: table or json."`
	Live     bool   `default:"true" negatable:"" help:"Also run each deployment with all processes in this one, which takes most of a minute each."`
	Examples string `default:"examples" type:"existingdir" help:"Directory of the deployments' files."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var command command
	parsed := kong.Parse(&command,
		kong.Name("measure"),
		kong.Description("Measures of the deployments and of what the system costs."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}

// Run measures the deployments one after the other.
func (command *tableCommand) Run(ctx context.Context) error {
	var rows []comparer.Row
	for _, deployment := range comparer.Deployments() {
		if command.Live {
			report, err := command.run(ctx, deployment.Name)
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

// run carries out a local run of a deployment's file with the seed.
func (command *tableCommand) run(ctx context.Context, name string) (reporter.Report, error) {
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
		Build:    build,
		Progress: os.Stderr,
	})
}

type slopesCommand struct {
	Only string `default:"." help:"Regular expression of the subjects to measure."`
}

// Run measures the subjects one after the other.
func (command *slopesCommand) Run(ctx context.Context) error {
	only, err := regexp.Compile(command.Only)
	if err != nil {
		return err
	}
	slopes, err := tabulator.MeasureAll(ctx, only)
	if err != nil {
		return err
	}
	return tabulator.WriteTable(os.Stdout, slopes)
}

func build(settings loader.Settings, dial sender.DialFunc, log *slog.Logger) (launcher.Instance, func(), error) {
	return assembler.New(assembler.Options{
		Settings: settings,
		Dial:     dial,
		Log:      log,
	})
}
