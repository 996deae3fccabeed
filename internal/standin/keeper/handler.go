package keeper

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/standin/server"
)

// maxBodyBytes allows for a value of the maximum size, encoded as base64 in JSON.
const maxBodyBytes = 2 * storer.MaxValueBytes

// Handler returns the keeper's HTTP interface.
func (keeper *Keeper) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(storer.Path+"{kind}", keeper.serveStore)
	router.Group(func(router chi.Router) {
		router.Use(keeper.rejectIfListDown)
		router.Get("/v1/instances", keeper.serveList)
		router.Put("/v1/instances/{id}", keeper.serveAnnounce)
		router.Delete("/v1/instances/{id}", keeper.serveWithdraw)
	})
	router.Get("/v1/counts", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, keeper.Counts())
	})
	router.Get("/v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(writer, http.StatusOK, keeper.Faults())
	})
	router.Put("/v1/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !server.ReadJSON(writer, request, maxBodyBytes, &faults) {
			return
		}
		keeper.SetFaults(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

func (keeper *Keeper) rejectIfListDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if keeper.Faults().ListDown {
			http.Error(writer, "instance list is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func (keeper *Keeper) serveStore(writer http.ResponseWriter, request *http.Request) {
	var call storer.Request
	if !server.ReadJSON(writer, request, maxBodyBytes, &call) {
		return
	}
	kind := storer.Operation(chi.URLParam(request, "kind"))
	keeper.countCall(string(kind))
	faults := keeper.Faults()
	if faults.Down {
		writeError(writer, storer.ErrUnavailable)
		return
	}
	server.Delay(keeper.closed, faults.Slow.Duration)
	response, err := keeper.execute(request.Context(), kind, call)
	if err != nil {
		writeError(writer, err)
		return
	}
	write := kind == storer.OperationPut || kind == storer.OperationDelete
	if write && keeper.consumeLostResponse() {
		server.Abort()
	}
	server.WriteJSON(writer, http.StatusOK, response)
}

func (keeper *Keeper) execute(ctx context.Context, kind storer.Operation, call storer.Request) (storer.Response, error) {
	switch kind {
	case storer.OperationGet:
		return keeper.get(call.Key)
	case storer.OperationPut:
		return keeper.put(call)
	case storer.OperationDelete:
		return keeper.delete(call.Key, call.Version)
	case storer.OperationWatch:
		return keeper.watch(ctx, call.Key, call.Version)
	case storer.OperationGrant:
		return keeper.grantLease(call.TTL)
	case storer.OperationRenew:
		return keeper.renewLease(call.Lease)
	case storer.OperationRevoke:
		return keeper.revokeLease(call.Lease)
	default:
		return storer.Response{}, errors.Errorf("unknown kind of store call: %q", kind)
	}
}

func writeError(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, storer.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, storer.ErrLeaseExpired):
		status = http.StatusGone
	case errors.Is(err, storer.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, storer.ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	server.WriteJSON(writer, status, storer.Response{
		Error: storer.ErrorCode(err),
	})
}
