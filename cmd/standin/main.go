// Command standin runs small fakes of the platform, workers and upstream runners.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"pomelomoor/internal/standin/balancer"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

type commands struct {
	Store    storeCommand    `cmd:"" help:"Run the key-value service with the instance list."`
	Worker   workerCommand   `cmd:"" help:"Run one worker."`
	Runner   runnerCommand   `cmd:"" help:"Run one upstream runner."`
	Balancer balancerCommand `cmd:"" help:"Run the balancer in front of entry instances."`
}

type storeCommand struct {
	Listen  netip.AddrPort `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes a free one."`
	Lag     time.Duration  `help:"Age of the instance list."`
	Silence time.Duration  `default:"5s" help:"Time without a heartbeat after which an instance is not listed."`
}

type placeFlags struct {
	Region string `help:"Region of the instance."`
	Site   string `help:"Site of the instance."`
	Rack   string `help:"Rack of the instance."`
}

type workerCommand struct {
	Listen       netip.AddrPort    `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes a free one."`
	ID           string            `name:"id" required:"" help:"ID of the worker."`
	List         []netip.AddrPort  `help:"Addresses of the instance list."`
	Place        placeFlags        `embed:""`
	Labels       map[string]string `help:"Labels of the worker, such as Disk=Fast;Pilot=Yes."`
	MilliCPU     int64             `name:"milli-cpu" default:"16000" help:"Processor time in thousandths of a core."`
	MemoryBytes  int64             `default:"34359738368" help:"Memory in bytes."`
	Accelerators int64             `help:"Number of accelerators."`
	UsageLag     time.Duration     `default:"2s" help:"Age of the usage reports."`
	Grace        time.Duration     `default:"10s" help:"Longest wait for tasks in progress when the worker is stopped."`
}

type runnerCommand struct {
	Listen      netip.AddrPort   `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes a free one."`
	ID          string           `name:"id" required:"" help:"ID of the runner."`
	Service     string           `required:"" help:"Service of the runner."`
	List        []netip.AddrPort `help:"Addresses of the instance list."`
	Place       placeFlags       `embed:""`
	Slots       int              `default:"8" help:"Requests that run at a time."`
	Connections int              `default:"64" help:"Maximum number of connections; requests on further ones are refused."`
	Linger      time.Duration    `default:"5s" help:"How long a stopping runner refuses requests before it closes its connections."`
	Grace       time.Duration    `default:"10s" help:"Longest wait for requests in progress when the runner is stopped."`
}

type balancerCommand struct {
	Listen  netip.AddrPort   `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes a free one."`
	Backend []netip.AddrPort `required:"" help:"HTTP addresses of the entry instances."`
	Grace   time.Duration    `default:"10s" help:"Longest wait for open connections when the balancer is stopped."`
}

// storeGrace is the longest wait for calls in progress when the store is stopped.
const storeGrace = 5 * time.Second

// standin is a running fake of any kind.
type standin interface {
	Address() netip.AddrPort
	Shutdown(ctx context.Context) error
}

// started is the line that a stand-in prints to standard output with the address it listens on.
type started struct {
	Standin string
	Address netip.AddrPort
}

func (command *storeCommand) Run(ctx context.Context) error {
	keeper, stop, err := keeper.Start(keeper.Options{
		Address:          command.Listen,
		HeartbeatTimeout: command.Silence,
		Faults: keeper.Faults{
			Lag: descriptor.Duration{
				Duration: command.Lag,
			},
		},
	})
	if err != nil {
		return err
	}
	defer stop()
	return serve(ctx, "store", keeper, storeGrace)
}

func (command *workerCommand) Run(ctx context.Context) error {
	worker, stop, err := worker.Start(worker.Options{
		ID:      descriptor.WorkerID(command.ID),
		Address: command.Listen,
		Place:   descriptor.Place(command.Place),
		Labels:  command.Labels,
		Capacity: descriptor.Resources{
			MilliCPU:     command.MilliCPU,
			MemoryBytes:  command.MemoryBytes,
			Accelerators: command.Accelerators,
		},
		UsageLag:      command.UsageLag,
		ListAddresses: command.List,
	})
	if err != nil {
		return err
	}
	defer stop()
	return serve(ctx, "worker", worker, command.Grace)
}

func (command *runnerCommand) Run(ctx context.Context) error {
	runner, stop, err := runner.Start(runner.Options{
		ID:            command.ID,
		Service:       command.Service,
		Address:       command.Listen,
		Place:         descriptor.Place(command.Place),
		Slots:         command.Slots,
		Connections:   command.Connections,
		Linger:        command.Linger,
		ListAddresses: command.List,
	})
	if err != nil {
		return err
	}
	defer stop()
	return serve(ctx, "runner", runner, command.Linger+command.Grace)
}

func (command *balancerCommand) Run(ctx context.Context) error {
	balancer, stop, err := balancer.Start(balancer.Options{
		Address:  command.Listen,
		Backends: command.Backend,
	})
	if err != nil {
		return err
	}
	defer stop()
	return serve(ctx, "balancer", balancer, command.Grace)
}

// serve prints the address, waits until ctx is cancelled and shuts down standin. Work that is still in progress
// after grace is aborted.
func serve(ctx context.Context, name string, standin standin, grace time.Duration) error {
	err := json.NewEncoder(os.Stdout).Encode(started{
		Standin: name,
		Address: standin.Address(),
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := standin.Shutdown(shutdownCtx); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %s: work in progress was aborted: %v\n", name, err)
	}
	return nil
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	var commands commands
	parsed := kong.Parse(&commands,
		kong.Name("standin"),
		kong.Description("Small fakes of the platform, workers and upstream runners."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
