package scheduler

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

// maxAnswerAge is the maximum age of a worker's last answer when a poll acknowledges ends. A worker that has restarted
// since then forgets its first ends by it, if they came before the poll.
const maxAnswerAge = 100 * time.Millisecond

// noteListed notes the ends of an answer that the worker may forget.
func (worker *worker) noteListed(answer *describer.PollAnswer) {
	worker.firstListed = 0
	if len(answer.Ended) > 0 {
		worker.firstListed = answer.Ended[0].Number
	}
	worker.listedAgain = worker.mayForget()
}

// mayForget reports whether the worker's last answer listed ends that it may forget.
func (worker *worker) mayForget() bool {
	return worker.firstListed > 0 && worker.firstListed <= worker.acknowledgedEnd
}

// acknowledge sets the end up to which order lets the worker forget its ends, if the last answer listed any of them. If
// that answer is too old, the order asks for another one at once instead. acknowledge reports whether the order should not
// wait for more records.
func (worker *worker) acknowledge(now time.Time, order *describer.PollOrder) bool {
	if !worker.mayForget() {
		return false
	}
	age := now.Sub(worker.clockAt)
	// Ends that were listed again are acknowledged in any case. A leader that is always behind would never do so otherwise.
	if age > maxAnswerAge && !worker.listedAgain {
		order.Wait = 0
		return false
	}
	order.AcknowledgedEnd = worker.acknowledgedEnd
	return worker.listedAgain || age > maxAnswerAge/2
}
