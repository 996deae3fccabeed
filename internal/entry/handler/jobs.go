package handler

import (
	"net/http"
	"net/url"
	"regexp"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

var jobPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,255}$`)

func (server *server) submit(writer http.ResponseWriter, request *http.Request) {
	body, release, ok := server.readJSON(server.work, writer, request, presenter.MaxJobDocument)
	if !ok {
		return
	}
	defer release()
	job, err := presenter.ParseJob(body)
	if err != nil {
		server.fail(writer, request, invalid("job description", err))
		return
	}
	status, created, err := server.Jobs.Submit(request.Context(), job)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	writer.Header().Set("Location", "/v1/jobs/"+url.PathEscape(string(status.ID)))
	if created {
		server.answer(writer, http.StatusCreated, status)
		return
	}
	server.answer(writer, http.StatusOK, status)
}

// jobID returns the job that the path names, or answers that there is none.
func (server *server) jobID(writer http.ResponseWriter, request *http.Request) (descriptor.JobID, bool) {
	id := chi.URLParam(request, "id")
	if !jobPattern.MatchString(id) {
		server.fail(writer, request, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no job has such an ID"))
		return "", false
	}
	return descriptor.JobID(id), true
}

func (server *server) status(writer http.ResponseWriter, request *http.Request) {
	wait, ok := server.wait(writer, request, presenter.MaxJobWait)
	switch {
	case !ok:
	case wait > 0:
		server.await(writer, request, wait)
	default:
		server.answerStatus(writer, request, false)
	}
}

// await answers when the job's fate is final or the wait ends.
func (server *server) await(writer http.ResponseWriter, request *http.Request, wait time.Duration) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Await(request.Context(), id, wait)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	server.answer(writer, http.StatusOK, status)
}

// wait returns the query parameter Wait, which may be absent, or answers that it is wrong.
func (server *server) wait(writer http.ResponseWriter, request *http.Request, longest time.Duration) (time.Duration, bool) {
	text := request.URL.Query().Get("Wait")
	if text == "" {
		return 0, true
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > longest {
		server.failBody(writer, request, descriptor.NewProblem(descriptor.CodeInvalid, 0,
			"the query parameter Wait must be a duration up to %s", longest))
		return 0, false
	}
	return wait, true
}

func (server *server) explain(writer http.ResponseWriter, request *http.Request) {
	server.answerStatus(writer, request, true)
}

func (server *server) answerStatus(writer http.ResponseWriter, request *http.Request, explain bool) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Status(request.Context(), id, explain)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	server.answer(writer, http.StatusOK, status)
}

func (server *server) cancel(writer http.ResponseWriter, request *http.Request) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Cancel(request.Context(), id)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	server.answer(writer, http.StatusOK, status)
}
