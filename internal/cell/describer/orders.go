package describer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the name of the step that workers and the advice service use.
func (stepID StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", stepID.Job, stepID.Occurrence, stepID.Step)
}

// TaskID identifies a task by its index in a step.
type TaskID struct {
	StepID
	Index int
}

// String returns the name of the task that workers use.
func (taskID TaskID) String() string {
	return taskID.StepID.String() + "." + strconv.Itoa(taskID.Index)
}

// ParseTaskID parses a name in the format of TaskID.String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q does not have four parts", name)
	}
	var numbers [3]int
	for index := range numbers {
		number, err := strconv.Atoi(parts[index+1])
		if err != nil || number < 0 {
			return TaskID{}, errors.Errorf("task name %q has no valid number in part %d", name, index+2)
		}
		numbers[index] = number
	}
	return TaskID{
		StepID: StepID{
			Job:        JobID(parts[0]),
			Occurrence: numbers[0],
			Step:       numbers[1],
		},
		Index: numbers[2],
	}, nil
}

// Fence is the fencing token of a leadership term. Workers reject orders whose token is lower than the
// highest one they have seen.
type Fence int64

// Target is the worker incarnation that receives an order, with the sender's fencing token.
type Target struct {
	Worker *Worker
	Fence  Fence
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task       TaskID
	Run        int
	Payload    string
	Checkpoint string
	Ticket     string
	// Deadline is the time on the worker's clock at which the leases of its runs expire. The worker rejects
	// the order with ErrLate if it arrives later.
	Deadline time.Duration
}

// StopOrder stops one run of a task.
type StopOrder struct {
	Task TaskID
	Run  int
}

// ThrottleOrder limits a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task    TaskID
	Run     int
	Percent int
}

// PollOrder renews the leases of a worker's runs and requests its lists of running and ended runs.
type PollOrder struct {
	// Deadline is the time on the worker's clock at which the leases of its runs expire. 0 leaves them
	// unchanged.
	Deadline time.Duration
	// AcknowledgedEnd is the highest EndedRun.Number that the worker may discard; 0 acknowledges no end. No worker
	// receives it in a poll that waits (package acknowledger).
	AcknowledgedEnd int64
	// Wait is how long the worker may wait for a run to end before it responds.
	Wait time.Duration
}

// RunStatus is an entry of a worker's list of running runs.
type RunStatus struct {
	Task TaskID
	Run  int
	// Checkpoint is the most recently saved progress, or empty.
	Checkpoint string
	// Percent is the progress, or the current speed of a perpetual task relative to its full speed.
	Percent int
	// Usage is the recent tail latency in milliseconds for a task with a TailTarget, and the CPU usage in
	// thousandths of a core for any other task.
	Usage int64
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	// OutcomeFailed is a failure of the task or of its worker.
	OutcomeFailed
	OutcomeStopped
	// OutcomeLapsed means that the worker's lease expired.
	OutcomeLapsed
	// OutcomeGangEnded means that another member of the gang ended.
	OutcomeGangEnded
	// OutcomeGangTimeout means that the other members of the gang did not start in time.
	OutcomeGangTimeout
)

// String returns the name of outcome.
func (outcome Outcome) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}
	if outcome < 0 || int(outcome) >= len(names) {
		return "Invalid"
	}
	return names[outcome]
}

// EndedRun is an entry of a worker's list of ended runs.
type EndedRun struct {
	// Number is the sequence number of the entry within the worker's incarnation, from 1.
	Number     int64
	Task       TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// PollAnswer is a worker's answer to a PollOrder.
type PollAnswer struct {
	Clock time.Duration
	// Incarnation is the start time of the incarnation that answered.
	Incarnation time.Time
	Running     []RunStatus
	Ended       []EndedRun
	// EndsTruncated means that more runs may have ended than Ended holds. The worker lists them once it may forget those.
	EndsTruncated bool
}

// Errors of orders to workers.
var (
	// ErrFenced means that the worker has seen the fencing token of a newer term.
	ErrFenced = errors.New("worker has seen a newer fencing token")
	// ErrStaleRun means that a run of the task with this number or a higher one has already been stopped or has
	// ended on the worker.
	ErrStaleRun = errors.New("this run or a newer one has already ended on the worker")
	// ErrLate means that the order arrived after its deadline.
	ErrLate = errors.New("order arrived after its deadline")
	// ErrNoCapacity means that the worker lacks free capacity for the task.
	ErrNoCapacity = errors.New("worker has no free capacity for the task")
	// ErrTicketRejected means that the worker rejected the ticket.
	ErrTicketRejected = errors.New("worker rejected the ticket")
	// ErrIncarnationChanged means that another incarnation of the worker responded at its address.
	ErrIncarnationChanged = errors.New("another incarnation of the worker responded")
	// ErrNoEffect means that the call had no effect on the worker or the store and will have none later.
	ErrNoEffect = errors.New("call failed without effect")
	// ErrUncertain means that the call may have taken effect or may still do so.
	ErrUncertain = errors.New("outcome of the call is unknown")
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, target Target, order StartOrder) (clock time.Duration, err error)
	Stop(ctx context.Context, target Target, order StopOrder) error
	Throttle(ctx context.Context, target Target, order ThrottleOrder) error
	Poll(ctx context.Context, target Target, order PollOrder) (PollAnswer, error)
}

// Ticket authorises one worker to run a step.
type Ticket struct {
	Worker WorkerID
	Ticket string
}

// Advice is the response of the advice service.
type Advice struct {
	Tickets []Ticket
	// Validity is how long the workers accept the tickets.
	Validity time.Duration
}

// Adviser sends requests to the advice service: which of the given workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []WorkerID) (Advice, error)
}
