package logger

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the number of lines that wait for a slow writer. Further lines are dropped.
const queueCapacity = 4096

// bufferBytes is the size of the buffer for lines that wait for a flush.
const bufferBytes = 64 << 10

// flushInterval is the minimum time between two flushes. A busy instance logs thousands of lines a second, and a
// write for each would cost more than the lines.
const flushInterval = 10 * time.Millisecond

// AsyncWriter passes lines through a queue to another writer in the background. When the queue is full, further
// lines are dropped and counted, so that logging never blocks and its memory is bounded.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter for writer, and a function that writes the queued lines and stops the
// background goroutine.
func NewAsyncWriter(writer io.Writer) (*AsyncWriter, func()) {
	asyncWriter := &AsyncWriter{
		lines: make(chan []byte, queueCapacity),
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		asyncWriter.writeLines(bufio.NewWriterSize(writer, bufferBytes), stop)
	})
	return asyncWriter, func() {
		close(stop)
		background.Wait()
	}
}

// Write queues one line. It never returns an error, because there is no other place to log it.
func (asyncWriter *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case asyncWriter.lines <- append([]byte(nil), line...):
	default:
		asyncWriter.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (asyncWriter *AsyncWriter) Dropped() int64 {
	return asyncWriter.dropped.Load()
}

// writeLines writes the queued lines to writer. When the queue is empty it flushes the writer, at most once in
// flushInterval, so that one flush covers all lines of that time. It returns after stop is closed and the queue is
// empty.
func (asyncWriter *AsyncWriter) writeLines(writer *bufio.Writer, stop <-chan struct{}) {
	defer func() {
		// There is no other place to report a failed write of a log line.
		_ = writer.Flush()
	}()
	for {
		select {
		case line := <-asyncWriter.lines:
			_, _ = writer.Write(line)
		default:
			_ = writer.Flush()
			select {
			case <-time.After(flushInterval):
			case <-stop:
			}
			select {
			case line := <-asyncWriter.lines:
				_, _ = writer.Write(line)
			case <-stop:
				for len(asyncWriter.lines) > 0 {
					_, _ = writer.Write(<-asyncWriter.lines)
				}
				return
			}
		}
	}
}
