package logger

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

// queueLines is how many lines wait for a slow reader before further ones are left out.
const queueLines = 4096

// Queue hands lines to a writer in the background. A line that finds the queue full is left out and
// counted, so that logging never blocks and its memory is bounded.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewQueue returns a queue in front of writer and a function that writes what waits and ends it.
func NewQueue(writer io.Writer) (*Queue, func()) {
	queue := &Queue{
		lines: make(chan []byte, queueLines),
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		queue.drain(bufio.NewWriter(writer), stop)
	})
	return queue, func() {
		close(stop)
		group.Wait()
	}
}

// Write queues one line. It never fails, since a program cannot log that it cannot log.
func (queue *Queue) Write(line []byte) (int, error) {
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (queue *Queue) Dropped() int64 {
	return queue.dropped.Load()
}

// drain writes lines together and flushes when none waits.
func (queue *Queue) drain(writer *bufio.Writer, stop <-chan struct{}) {
	defer func() {
		// A failed write of a log line has no other place to be told.
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
