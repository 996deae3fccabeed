package handler

import (
	"net/http"
	"strconv"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

func (server *server) config(writer http.ResponseWriter, request *http.Request) {
	document, err := server.Configs.Current(request.Context())
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, document)
}

// readConfig returns the configuration in the body of a call. On failure it writes the error response and
// returns false.
func (server *server) readConfig(writer http.ResponseWriter, request *http.Request) (parser.Config, bool) {
	body, release, ok := server.readJSON(server.control, writer, request, parser.MaxDocumentBytes)
	if !ok {
		return parser.Config{}, false
	}
	defer release()
	config, err := parser.Parse(body)
	if err != nil {
		server.writeError(writer, request, invalidProblem("configuration", err))
		return parser.Config{}, false
	}
	return config, true
}

func (server *server) apply(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	base, err := strconv.ParseUint(query.Get("Base"), 10, 64)
	if err != nil {
		server.writeBodyError(writer, request, descriptor.NewProblem(descriptor.CodeInvalid, 0,
			"the query parameter Base must be the revision that the document is based on, or 0 if there is none yet"))
		return
	}
	wait, ok := server.parseWait(writer, request, presenter.MaxApplyWait)
	if !ok {
		return
	}
	config, ok := server.readConfig(writer, request)
	if !ok {
		return
	}
	result, err := server.Configs.Apply(request.Context(), base, config, wait)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, result)
}

func (server *server) diff(writer http.ResponseWriter, request *http.Request) {
	config, ok := server.readConfig(writer, request)
	if !ok {
		return
	}
	configDiff, err := server.Configs.Diff(request.Context(), config)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, configDiff)
}

func (server *server) instances(writer http.ResponseWriter, request *http.Request) {
	instances, err := server.Instances.Instances(request.Context())
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, presenter.InstancesDocument{
		Instances: instances,
	})
}

func (server *server) drain(writer http.ResponseWriter, request *http.Request) {
	if err := server.Readiness.Drain(request.Context()); err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusAccepted, presenter.StateDocument{
		State: "Draining",
	})
}

func (server *server) ready(writer http.ResponseWriter, request *http.Request) {
	server.writeState(writer, request, "Ready", server.Readiness.Ready())
}

func (server *server) live(writer http.ResponseWriter, request *http.Request) {
	server.writeState(writer, request, "Live", server.Readiness.Live())
}

// writeState responds with status 200, or with 503 and the text of err as the reason for operators.
func (server *server) writeState(writer http.ResponseWriter, request *http.Request, state string, err error) {
	if err != nil {
		problem := descriptor.NewProblem(descriptor.CodeUnavailable, DefaultRetryAfter, "%s", err)
		server.writeProblem(writer, request, http.StatusServiceUnavailable, problem, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, presenter.StateDocument{
		State: state,
	})
}
