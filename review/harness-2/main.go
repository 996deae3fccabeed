// Command harness-2 plays the cases of the second review that cannot be put as a day of the bench. It starts the instances
// of a small deployment as processes, against stand-ins of the platform, the runners and the clients in this process.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case and returns the rules that were broken. An error means that the case could not run.
type scenario struct {
	options options
	play    func(site *site, trouble bool) error
}

var scenarios = map[string]scenario{}

// maxPlay ends a case that takes too long.
const maxPlay = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/pomelomoor", "the program of the deploy file")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(run(*name, *program, *record, *trouble))
}

func run(name, program, record string, trouble bool) int {
	chosen, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	keep := os.Getenv("KEEP_LOGS") != ""
	if keep {
		fmt.Fprintln(os.Stderr, "logs in", directory)
	}
	defer func() {
		if !keep {
			_ = os.RemoveAll(directory)
		}
	}()
	site, err := newSite(program, record, directory, chosen.options)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	played := make(chan error, 1)
	go func() { played <- chosen.play(site, trouble) }()
	select {
	case err = <-played:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(maxPlay):
		err = fmt.Errorf("the case has not ended after %v", maxPlay)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		site.judge.note("the case could not run: %v", err)
		return exitFailed
	}
	site.judge.mutex.Lock()
	broken, starts, ends := site.judge.broken, site.judge.starts, site.judge.ends
	site.judge.mutex.Unlock()
	fmt.Printf("%s (trouble %v): %d starts, ends %v, %d breaks\n", name, trouble, starts, ends, len(broken))
	for index, line := range broken {
		if index < 5 {
			fmt.Println("  " + line)
		}
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
