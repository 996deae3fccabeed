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

// Work is the body of a request to the runner.
type Work struct {
	ServiceTime descriptor.Duration `json:",omitzero"`
	// Key is the client's identifier of the request. It is kept in the history.
	Key  string `json:",omitempty"`
	Echo string
}

// Result is the body of a successful response.
type Result struct {
	Runner string
	Key    string `json:",omitempty"`
	Echo   string
}

// response is the response to one request.
type response struct {
	id     string
	status int
	body   []byte
}

const maxBodyBytes = requester.MaxBodyBytes

// Handler returns the runner's HTTP interface.
func (runner *Runner) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(requester.Path, runner.serveRun)
	router.Get("/v1/history", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, runner.History())
	})
	router.Get("/v1/refusals", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, runner.Refusals())
	})
	router.Get("/v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, runner.Faults())
	})
	router.Put("/v1/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !server.ReadJSON(writer, request, maxBodyBytes, &faults) {
			return
		}
		runner.SetFaults(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

// Refusals returns the number of refused requests by reason.
func (runner *Runner) Refusals() map[string]uint64 {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return maps.Clone(runner.refusals)
}

func (runner *Runner) serveRun(writer http.ResponseWriter, request *http.Request) {
	var work Work
	if !server.ReadJSON(writer, request, maxBodyBytes, &work) {
		return
	}
	overLimit, _ := request.Context().Value(overLimitKey{}).(bool)
	if overLimit {
		writer.Header().Set("Connection", "close")
	}
	faults := runner.Faults()
	if faults.Down {
		server.Abort()
	}
	id := request.Header.Get(requester.HeaderID)
	if faults.Fail {
		writeResponse(writer, response{
			id:     id,
			status: http.StatusInternalServerError,
		})
		return
	}
	deadline, _ := time.Parse(time.RFC3339Nano, request.Header.Get(requester.HeaderDeadline))
	index, reason := runner.startRequest(request, work, overLimit, deadline)
	if reason != "" {
		writer.Header().Set(requester.HeaderRefused, reason)
		writeResponse(writer, response{
			id:     id,
			status: http.StatusServiceUnavailable,
		})
		return
	}
	completed := runner.execute(request, work.ServiceTime.Duration, deadline)
	computed := runner.newResponse(id, work, completed)
	sent, dropped := runner.finishRequest(index, computed, completed)
	if dropped {
		server.Abort()
	}
	runner.sleep(request, faults.Late.Duration)
	if faults.Truncate {
		writeTruncated(writer, sent)
		return
	}
	writeResponse(writer, sent)
}

// startRequest takes a slot and adds the request to the history, or returns the reason for a refusal.
func (runner *Runner) startRequest(request *http.Request, work Work, overLimit bool, deadline time.Time) (index int, reason string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	switch {
	case runner.faults.Leaving:
		reason = requester.RefusedLeaving
	case !deadline.IsZero() && !time.Now().Before(deadline):
		reason = requester.RefusedDeadline
	case overLimit || runner.busySlots == runner.options.Slots:
		reason = requester.RefusedBusy
	}
	if reason != "" {
		runner.refusals[reason]++
		return 0, reason
	}
	runner.busySlots++
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

// execute waits for the service time. It returns false if the deadline passed, the client disconnected or the
// runner was stopped first.
func (runner *Runner) execute(request *http.Request, serviceTime time.Duration, deadline time.Time) bool {
	if !deadline.IsZero() {
		remaining := time.Until(deadline)
		if remaining < serviceTime {
			runner.sleep(request, remaining)
			return false
		}
	}
	return runner.sleep(request, serviceTime)
}

// sleep waits for the duration. It returns false if the client disconnected or the runner was stopped first.
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

func (runner *Runner) newResponse(id string, work Work, completed bool) response {
	if !completed {
		return response{
			id:     id,
			status: http.StatusGatewayTimeout,
		}
	}
	body, _ := json.Marshal(Result{
		Runner: runner.options.ID,
		Key:    work.Key,
		Echo:   work.Echo,
	})
	return response{
		id:     id,
		status: http.StatusOK,
		body:   body,
	}
}

// finishRequest frees the slot. It returns the response to send, and whether to drop it.
func (runner *Runner) finishRequest(index int, computed response, completed bool) (sent response, dropped bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.busySlots--
	record := &runner.history[index]
	record.Ended, record.Completed = time.Now(), completed
	sent = computed
	if runner.faults.Swap && runner.lastResponse != nil {
		sent = *runner.lastResponse
	}
	runner.lastResponse = &computed
	if runner.faults.LoseAnswers > 0 {
		runner.faults.LoseAnswers--
		dropped = true
	}
	return sent, dropped
}

func writeResponse(writer http.ResponseWriter, response response) {
	writeHeader(writer, response)
	_, _ = writer.Write(response.body)
}

func writeHeader(writer http.ResponseWriter, response response) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	writer.Header().Set(requester.HeaderID, response.id)
	writer.WriteHeader(response.status)
}

func writeTruncated(writer http.ResponseWriter, response response) {
	writeHeader(writer, response)
	_, _ = writer.Write(response.body[:len(response.body)/2])
	_ = http.NewResponseController(writer).Flush()
	server.Abort()
}
