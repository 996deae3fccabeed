// Command harness plays the cases of the review: it starts the system's processes beside stand-ins for the store, the
// runners and the clients, and checks one rule from what these have seen.
//
// Usage: harness CASE RECORD, in the repository's root. The exit status is 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trouble reports whether the disruption takes place.
var trouble = os.Getenv("TROUBLE") != "0"

// directory holds the settings and the logs of the processes.
var directory string

// maxTime limits a case.
const maxTime = 115 * time.Second

func exit(code int) {
	if current != nil {
		current.stop()
	}
	if directory != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(directory)
	}
	os.Exit(code)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	exit(2)
}

func main() {
	cases := map[string]func(record *record) []string{
		"ends":    playEnds,
		"route":   playRoute,
		"poison":  playPoison,
		"crashes": playCrashes,
		"reborn":  playReborn,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: harness CASE RECORD")
	}
	var err error
	if directory, err = os.MkdirTemp("", "review-"); err != nil {
		fail("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		fail("interrupted")
	}()
	time.AfterFunc(maxTime, func() {
		fail("the case took longer than %s", maxTime)
	})
	record := newRecord(os.Args[2])
	breaks := cases[os.Args[1]](record)
	for index, text := range breaks {
		if index == 10 {
			record.say("and %d more", len(breaks)-index)
			break
		}
		record.say("BROKEN: %s", text)
	}
	if len(breaks) > 0 {
		exit(1)
	}
	record.say("the rule held")
	exit(0)
}
