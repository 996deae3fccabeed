package main

import (
	"fmt"
	"os"
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
	time.AfterFunc(maxTime, func() {
		record.tell("the case took too long")
		record.close()
		os.Exit(int(couldNot))
	})
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
