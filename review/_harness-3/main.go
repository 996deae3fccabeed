package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is how a case ended, which is its exit code.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(record *record, trouble bool) verdict{
	"lasting":  lastingCase,
	"services": servicesCase,
	"memory":   memoryCase,
	"cancel":   cancelCase,
	"gang":     gangCase,
	"crashes":  crashesCase,
	"wide":     wideCase,
	"takeover": takeoverCase,
	"rack":     rackCase,
}

// cleanUp ends the instances of the cell, if there is one, and removes its folder.
var cleanUp = func() {}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(int(couldNot))
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	stop := func(reason string) {
		record.tell("%s", reason)
		cleanUp()
		record.close()
		os.Exit(int(couldNot))
	}
	time.AfterFunc(maxTime, func() {
		stop("the case took too long")
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		stop("the case was stopped")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.tell("case %s, trouble %v", os.Args[1], trouble)
	result := cases[os.Args[1]](record, trouble)
	record.tell("%s", map[verdict]string{
		held:     "the rule held",
		broken:   "the rule was broken",
		couldNot: "the case could not run",
	}[result])
	record.close()
	os.Exit(int(result))
}
