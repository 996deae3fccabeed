package logger

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the number of lines that wait for a slow writer. Further lines are dropped.
const queueCapacity = 4096

// Queue passes lines to a writer in the background. When the queue is full, further lines are dropped and
// counted, so that logging never blocks and its memory is bounded.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue that feeds writer, and a function that writes the queued lines and stops the queue.
func NewQueue(writer io.Writer) (*Queue, func()) {
	queue := &Queue{
		lines: make(chan []byte, queueCapacity),
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		queue.writeLines(bufio.NewWriter(writer), stop)
	})
	return queue, func() {
		close(stop)
		background.Wait()
	}
}

// Write queues one line. It never returns an error, because there is no other place to log it.
func (queue *Queue) Write(line []byte) (int, error) {
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (queue *Queue) Dropped() int64 {
	return queue.dropped.Load()
}

// writeLines writes the queued lines to writer and flushes it whenever the queue is empty, so that one flush
// covers all lines that were waiting. It returns after stop is closed and the queue is empty.
func (queue *Queue) writeLines(writer *bufio.Writer, stop <-chan struct{}) {
	defer func() {
		// There is no other place to report a failed write of a log line.
		_ = writer.Flush()
	}()
	for {
		select {
		case line := <-queue.lines:
			_, _ = writer.Write(line)
		default:
			_ = writer.Flush()
			select {
			case line := <-queue.lines:
				_, _ = writer.Write(line)
			case <-stop:
				for len(queue.lines) > 0 {
					_, _ = writer.Write(<-queue.lines)
				}
				return
			}
		}
	}
}
