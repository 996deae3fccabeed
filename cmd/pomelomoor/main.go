// Command pomelomoor runs instances and is the command line for operators and callers.
package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"pomelomoor/internal/client/commander"
	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/node/loader"
	"pomelomoor/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return newProgram().Run(ctx, os.Args[1:])
}

func newProgram() *commander.Program {
	return &commander.Program{
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Version: version(),
		Entry:   runEntry,
		Node:    runNode,
		Local:   runLocal,
		CellForm: &commander.CellForm{
			Recognise: platform.IsConfig,
			Parse:     parseCell,
			Field:     platform.ConfigField,
		},
	}
}

func parseCell(document []byte) (checker.Cell, []error) {
	config, faults := platform.InspectConfig(document)
	return checker.Cell{
		Config: config,
	}, faults
}

// started is the line that an entry instance prints to standard output with the addresses it listens on.
type started struct {
	Instance string
	HTTP     netip.AddrPort
	Peer     netip.AddrPort
}

func runEntry(ctx context.Context, settings loader.Settings, log *slog.Logger) error {
	entry, cleanup, err := assembler.New(assembler.Options{
		Settings: settings,
		Log:      log,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	err = json.NewEncoder(os.Stdout).Encode(started{
		Instance: entry.ID(),
		HTTP:     entry.HTTPAddress(),
		Peer:     entry.PeerAddress(),
	})
	if err != nil {
		return err
	}
	return entry.Serve(ctx)
}

// version returns the module version and the VCS revision that are recorded in the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}
