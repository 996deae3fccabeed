package describer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the name of the step as the workers and the advice service know it.
func (stepID StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", stepID.Job, stepID.Occurrence, stepID.Step)
}

// TaskID names a task.
type TaskID struct {
	StepID
	Index int
}

// String returns the name of the task as the workers know it.
func (taskID TaskID) String() string {
	return taskID.StepID.String() + "." + strconv.Itoa(taskID.Index)
}

// ParseTaskID reads a name that TaskID.String wrote.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q does not have four parts", name)
	}
	var numbers [3]int
	for index := range numbers {
		number, err := strconv.Atoi(parts[index+1])
		if err != nil || number < 0 {
			return TaskID{}, errors.Errorf("task name %q has no number in part %d", name, index+2)
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

// Fence is the fencing token of a term of leadership. Workers ignore orders with a lower one than
// the highest that they have seen.
type Fence int64

// Target is one incarnation of a worker.
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
	// Deadline is the worker's clock at which its leases lapse.
	Deadline time.Duration
}

// StopOrder stops one run of a task.
type StopOrder struct {
	Task TaskID
	Run  int
}

// PaceOrder limits the share at which a run works, in percent.
type PaceOrder struct {
	Task    TaskID
	Run     int
	Percent int
}

// LookOrder renews the leases of a worker's runs and asks for its lists.
type LookOrder struct {
	// Deadline is the worker's clock at which its leases lapse; 0 leaves it as it is.
	Deadline time.Duration
	// Seen is the number of the last end that may be forgotten.
	Seen int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Running is one run in a worker's list.
type Running struct {
	Task TaskID
	Run  int
	// Checkpoint is the last saved progress; empty for none.
	Checkpoint string
	// Percent is the progress, or the share at work of a perpetual task.
	Percent int
	// Usage is the recent tail of response times in milliseconds for a task with a target, and the
	// processor use in thousandths of a core for any other.
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
	// OutcomeLapsed means that the worker's lease ended.
	OutcomeLapsed
	// OutcomeBroken means that another member of the gang ended.
	OutcomeBroken
	// OutcomeAlone means that the other members of the gang did not come in time.
	OutcomeAlone
)

// String returns the name of outcome.
func (outcome Outcome) String() string {
	names := [...]string{"Unknown", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}
	if outcome < 0 || int(outcome) >= len(names) {
		return "Invalid"
	}
	return names[outcome]
}

// End is the end of a run in a worker's list.
type End struct {
	// Number counts the ends of an incarnation from 1.
	Number     int64
	Task       TaskID
	Run        int
	Outcome    Outcome
	Checkpoint string
}

// Look is a worker's answer to a LookOrder.
type Look struct {
	Clock   time.Duration
	Born    time.Time
	Running []Running
	Ended   []End
}

// Errors of orders to workers.
var (
	// ErrFenced means that the worker knows a newer term.
	ErrFenced = errors.New("worker knows a newer fencing token")
	// ErrOldRun means that a run of this number or a higher one was stopped or ended there.
	ErrOldRun = errors.New("run is older than one that ended on the worker")
	// ErrLate means that the deadline of the order had passed.
	ErrLate = errors.New("order arrived after its deadline")
	// ErrNoRoom means that the worker has no capacity for the task.
	ErrNoRoom = errors.New("worker has no room")
	// ErrTicket means that the worker does not accept the ticket.
	ErrTicket = errors.New("worker does not accept the ticket")
	// ErrReborn means that another incarnation answers at the worker's address.
	ErrReborn = errors.New("another incarnation of the worker answered")
	// ErrNotDone means that the worker or the store refused the call and did nothing.
	ErrNotDone = errors.New("call was refused and had no effect")
	// ErrUncertain means that the call may have had an effect, or may have one later.
	ErrUncertain = errors.New("call got no answer")
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, target Target, order StartOrder) (clock time.Duration, err error)
	Stop(ctx context.Context, target Target, order StopOrder) error
	Pace(ctx context.Context, target Target, order PaceOrder) error
	Look(ctx context.Context, target Target, order LookOrder) (Look, error)
}

// Ticket allows one worker to run a step.
type Ticket struct {
	Worker WorkerID
	Ticket string
}

// Advice is the answer of the advice service.
type Advice struct {
	Tickets []Ticket
	// Validity is how long the tickets are accepted.
	Validity time.Duration
}

// Adviser asks the advice service which of workers may run step.
type Adviser interface {
	Advise(ctx context.Context, step StepID, workers []WorkerID) (Advice, error)
}
