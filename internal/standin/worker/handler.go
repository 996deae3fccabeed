package worker

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/standin/server"
)

const maxBodyBytes = 32 << 20

// Handler returns the worker's HTTP interface.
func (worker *Worker) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(executor.Path, worker.serveSync)
	router.Get("/v1/history", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, worker.History())
	})
	router.Get("/v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, worker.Faults())
	})
	router.Put("/v1/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !server.ReadJSON(writer, request, maxBodyBytes, &faults) {
			return
		}
		worker.SetFaults(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
	router.Post("/v1/restart", func(writer http.ResponseWriter, _ *http.Request) {
		worker.Restart()
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

func (worker *Worker) serveSync(writer http.ResponseWriter, request *http.Request) {
	var message executor.SyncRequest
	if !server.ReadJSON(writer, request, maxBodyBytes, &message) {
		return
	}
	faults := worker.Faults()
	if faults.Down {
		server.Abort()
	}
	server.Delay(worker.closed, faults.Slow.Duration)
	response, err := worker.Sync(message)
	if err != nil {
		server.WriteJSON(writer, http.StatusConflict, executor.ErrorResponse{
			Error: executor.CodeFenced,
		})
		return
	}
	if worker.consumeLostResponse() {
		server.Abort()
	}
	server.WriteJSON(writer, http.StatusOK, response)
}

func (worker *Worker) consumeLostResponse() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.faults.LoseAnswers == 0 {
		return false
	}
	worker.faults.LoseAnswers--
	return true
}
