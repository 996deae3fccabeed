package keeper

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/standin/server"
)

// bodyLimit has room for a value of the largest size in its JSON form.
const bodyLimit = 2 * storer.MaxValueBytes

// Handler returns the keeper's HTTP interface.
func (keeper *Keeper) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post(storer.Path+"{kind}", keeper.serveStore)
	router.Group(func(router chi.Router) {
		router.Use(keeper.refuseList)
		router.Get("/v1/instances", keeper.serveList)
		router.Put("/v1/instances/{id}", keeper.serveAnnounce)
		router.Delete("/v1/instances/{id}", keeper.serveWithdraw)
	})
	router.Get("/v1/counts", func(writer http.ResponseWriter, _ *http.Request) {
		server.Reply(writer, http.StatusOK, keeper.Counts())
	})
	router.Get("/v1/faults", func(writer http.ResponseWriter, _ *http.Request) {
		server.Reply(writer, http.StatusOK, keeper.Faults())
	})
	router.Put("/v1/faults", func(writer http.ResponseWriter, request *http.Request) {
		var faults Faults
		if !server.Read(writer, request, bodyLimit, &faults) {
			return
		}
		keeper.SetFaults(faults)
		writer.WriteHeader(http.StatusNoContent)
	})
	return router
}

func (keeper *Keeper) refuseList(next http.Handler) http.Handler {
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
	if !server.Read(writer, request, bodyLimit, &call) {
		return
	}
	kind := storer.Operation(chi.URLParam(request, "kind"))
	keeper.count(string(kind))
	faults := keeper.Faults()
	if faults.Down {
		refuse(writer, storer.ErrUnavailable)
		return
	}
	server.Delay(keeper.closed, faults.Slow.Duration)
	answer, err := keeper.execute(request.Context(), kind, call)
	if err != nil {
		refuse(writer, err)
		return
	}
	write := kind == storer.OperationPut || kind == storer.OperationDelete
	if write && keeper.takeLoss() {
		server.Drop()
	}
	server.Reply(writer, http.StatusOK, answer)
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
		return keeper.grant(call.TTL)
	case storer.OperationRenew:
		return keeper.renew(call.Lease)
	case storer.OperationRevoke:
		return keeper.revoke(call.Lease)
	default:
		return storer.Response{}, errors.Errorf("unknown call %q", kind)
	}
}

func refuse(writer http.ResponseWriter, err error) {
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
	server.Reply(writer, status, storer.Response{
		Error: storer.ErrorCode(err),
	})
}
