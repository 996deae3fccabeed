package handler

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// newRequestID returns a random ID that is unique in the cell.
func newRequestID() string {
	var bytes [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func (server *server) request(writer http.ResponseWriter, call *http.Request) {
	request := presenter.Request{
		ID:      newRequestID(),
		Service: chi.URLParam(call, "service"),
	}
	writer.Header().Set(presenter.HeaderRequest, request.ID)
	if err := request.ParseHeader(call.Header, time.Now()); err != nil {
		server.writeBodyError(writer, call, invalidProblem("request", err))
		return
	}
	var release func()
	if call.ContentLength != 0 {
		var ok bool
		request.Body, release, ok = server.readJSON(server.work, writer, call, server.Limits.BodyBytes)
		if !ok {
			return
		}
		defer release()
	}
	// The context does not get the request's deadline, because the fate may become known just after it.
	response, err := server.Requests.Handle(call.Context(), request)
	if err != nil {
		server.writeError(writer, call, err)
		return
	}
	if response.Status < http.StatusOK || response.Status > 599 {
		server.writeError(writer, call, errors.Errorf("upstream status %d is not a valid HTTP status", response.Status))
		return
	}
	writer.Header().Set(presenter.HeaderFate, descriptor.NewFateRecord(response.Fate).Fate)
	server.writeBody(writer, response.Status, response.Body)
}
