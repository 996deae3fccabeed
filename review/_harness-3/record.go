package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
	lines  int
}

// maxRecordLines bounds the record; a case with thousands of calls leaves out the later ones.
const maxRecordLines = 100000

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start:  time.Now(),
		file:   file,
		writer: bufio.NewWriter(file),
	}, nil
}

// add writes one line with the seconds since the start of the case.
func (record *record) add(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.lines++
	if record.lines > maxRecordLines {
		return
	}
	fmt.Fprintf(record.writer, "%8.3f ", time.Since(record.start).Seconds())
	fmt.Fprintf(record.writer, format, args...)
	fmt.Fprintln(record.writer)
}

// tell writes one line to the record, whatever its length, and to standard output.
func (record *record) tell(format string, args ...any) {
	record.mutex.Lock()
	record.lines = min(record.lines, maxRecordLines-1)
	record.mutex.Unlock()
	record.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_ = record.writer.Flush()
	_ = record.file.Close()
}
