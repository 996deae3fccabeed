package runner

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/standin/server"
	"pomelomoor/internal/work/descriptor"
)

// Work is the body of a request.
type Work struct {
	ServiceTime descriptor.Duration `json:",omitzero"`
	// Key is the caller's own name for the request, for the history.
	Key  string `json:",omitempty"`
	Echo string
}

// Result is the body of an answer.
type Result struct {
	Runner string
	Key    string `json:",omitempty"`
	Echo   string
}

// answer is what a finished request is to get.
type answer struct {
	id     string
	status int
	body   []byte
}

const bodyLimit = requester.MaxBodyBytes

// Handler returns the runner's HTTP interface.
func (runner *Runner) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(requester.Path, runner.serveRun)
	router.Get("/v1/history", func(writer http.ResponseWriter, _ *http.Request) {
		server.Reply(writer, http.StatusOK, runner.History())
	})
	router.Get("/v1/refusals", func(writer http.ResponseWriter, _ *http.Request) {
		server.Reply(writer, http.StatusOK, runner.Refusals())
	})
	router.Get("/v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		server.Reply(writer, http.StatusOK, runner.Faults())
	})
	router.Put("/v1/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !server.Read(writer, request, bodyLimit, &faults) {
			return
		}
		runner.SetFaults(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

// Refusals returns how many requests were refused for each reason.
func (runner *Runner) Refusals() map[string]uint64 {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return maps.Clone(runner.refused)
}

func (runner *Runner) serveRun(writer http.ResponseWriter, request *http.Request) {
	var work Work
	if !server.Read(writer, request, bodyLimit, &work) {
		return
	}
	excess, _ := request.Context().Value(connectionKey{}).(bool)
	if excess {
		writer.Header().Set("Connection", "close")
	}
	faults := runner.Faults()
	if faults.Down {
		server.Drop()
	}
	id := request.Header.Get(requester.HeaderID)
	if faults.Fail {
		write(writer, answer{
			id:     id,
			status: http.StatusInternalServerError,
		})
		return
	}
	deadline, _ := time.Parse(time.RFC3339Nano, request.Header.Get(requester.HeaderDeadline))
	index, reason := runner.begin(request, work, excess, deadline)
	if reason != "" {
		writer.Header().Set(requester.HeaderRefused, reason)
		write(writer, answer{
			id:     id,
			status: http.StatusServiceUnavailable,
		})
		return
	}
	completed := runner.work(request, work.ServiceTime.Duration, deadline)
	own := runner.result(id, work, completed)
	given, lost := runner.end(index, own, completed)
	if lost {
		server.Drop()
	}
	runner.sleep(request, faults.Late.Duration)
	if faults.Truncate {
		truncate(writer, given)
		return
	}
	write(writer, given)
}

// begin takes a slot, or returns the reason why not.
func (runner *Runner) begin(request *http.Request, work Work, excess bool, deadline time.Time) (index int, reason string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	switch {
	case runner.faults.Leaving:
		reason = requester.RefusedLeaving
	case !deadline.IsZero() && !time.Now().Before(deadline):
		reason = requester.RefusedDeadline
	case excess || runner.busy == runner.options.Slots:
		reason = requester.RefusedBusy
	}
	if reason != "" {
		runner.refused[reason]++
		return 0, reason
	}
	runner.busy++
	idempotent, _ := strconv.ParseBool(request.Header.Get(requester.HeaderIdempotent))
	runner.history = append(runner.history, Record{
		ID:         request.Header.Get(requester.HeaderID),
		Caller:     request.Header.Get(requester.HeaderCaller),
		Key:        work.Key,
		Idempotent: idempotent,
		Trace:      request.Header.Get(requester.HeaderTrace),
		Started:    time.Now(),
	})
	return len(runner.history) - 1, ""
}

// work reports whether the service time was spent before the deadline passed and the client left.
func (runner *Runner) work(request *http.Request, serviceTime time.Duration, deadline time.Time) bool {
	if !deadline.IsZero() {
		left := time.Until(deadline)
		if left < serviceTime {
			runner.sleep(request, left)
			return false
		}
	}
	return runner.sleep(request, serviceTime)
}

// sleep reports whether the time passed before the client left.
func (runner *Runner) sleep(request *http.Request, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	case <-runner.closed:
		return false
	}
}

func (runner *Runner) result(id string, work Work, completed bool) answer {
	if !completed {
		return answer{
			id:     id,
			status: http.StatusGatewayTimeout,
		}
	}
	body, _ := json.Marshal(Result{
		Runner: runner.options.ID,
		Key:    work.Key,
		Echo:   work.Echo,
	})
	return answer{
		id:     id,
		status: http.StatusOK,
		body:   body,
	}
}

// end frees the slot. It returns the answer to give, and whether that is to be lost.
func (runner *Runner) end(index int, own answer, completed bool) (given answer, lost bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.busy--
	record := &runner.history[index]
	record.Ended, record.Completed = time.Now(), completed
	given = own
	if runner.faults.Swap && runner.last != nil {
		given = *runner.last
	}
	runner.last = &own
	if runner.faults.LoseAnswers > 0 {
		runner.faults.LoseAnswers--
		lost = true
	}
	return given, lost
}

func write(writer http.ResponseWriter, answer answer) {
	header(writer, answer)
	_, _ = writer.Write(answer.body)
}

func header(writer http.ResponseWriter, answer answer) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	writer.Header().Set(requester.HeaderID, answer.id)
	writer.WriteHeader(answer.status)
}

func truncate(writer http.ResponseWriter, answer answer) {
	header(writer, answer)
	_, _ = writer.Write(answer.body[:len(answer.body)/2])
	_ = http.NewResponseController(writer).Flush()
	server.Drop()
}
