package forwarder

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/gateway/requester"
)

// instantRequester responds to every request immediately.
type instantRequester struct{}

func (instantRequester) Send(_ context.Context, _ netip.AddrPort, request requester.Request) (requester.Response, error) {
	return requester.Response{
		ID:     request.ID,
		Status: 200,
	}, nil
}

// BenchmarkDo measures the overhead of the entry instance per request, with 50 runners and as many
// concurrent callers as processors.
func BenchmarkDo(b *testing.B) {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Reporter: tally.NullStatsReporter,
	}, time.Second)
	defer closer.Close()
	forwarder, stop := New(Options{
		Self:      "a",
		Region:    "kigali",
		Requester: instantRequester{},
		Scope:     scope,
	})
	defer stop()
	forwarder.SetInstances(runners(50))
	request := Request{
		Service: "desk",
		Caller:  "kiosk",
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if result := forwarder.Do(context.Background(), request); result.Problem != nil {
				b.Error(result.Problem)
			}
		}
	})
}
