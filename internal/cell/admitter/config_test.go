package admitter

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
)

// TestRouteOfUnconfirmedConfiguration guards against a call that is refused for good, or a job that is stored, by a
// configuration that may have been replaced. Those who ask for their jobs are served.
func TestRouteOfUnconfirmedConfiguration(t *testing.T) {
	config := &describer.Config{
		Queues: []describer.Queue{{
			Name:   "plain",
			Host:   "host",
			Prefix: "/plain/",
		}},
		MaxBodyBytes: 10,
	}
	cases := []struct {
		name        string
		config      *describer.Config
		path        string
		unconfirmed bool
		want        error
		rejected    bool
		condition   bool
	}{
		{
			name:     "no configuration",
			path:     "/plain/1",
			rejected: true,
		},
		{
			name:   "route",
			config: config,
			path:   "/plain/1",
		},
		{
			name:   "no route",
			config: config,
			path:   "/other/1",
			want:   describer.ErrNoQueue,
		},
		{
			name:        "route, unconfirmed",
			config:      config,
			path:        "/plain/1",
			unconfirmed: true,
			condition:   true,
		},
		{
			name:        "no route, unconfirmed",
			config:      config,
			path:        "/other/1",
			unconfirmed: true,
			rejected:    true,
		},
	}
	for _, test := range cases {
		admitter := newAdmitter(&fakeStore{
			config:      test.config,
			unconfirmed: test.unconfirmed,
		}, true)
		route, err := admitter.Route(context.Background(), describer.Call{
			Host: "host",
			Path: test.path,
		})
		var rejected *describer.RejectedError
		if isRejected := errors.As(err, &rejected); isRejected != test.rejected || !isRejected && !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v, rejected %v", test.name, err, test.want, test.rejected)
		}
		if test.rejected && rejected.RetryAfter <= 0 {
			t.Errorf("%s: rejected without a retry delay", test.name)
		}
		if err == nil && (route.Rest != "1" || route.MaxBodyBytes != 10) {
			t.Errorf("%s: route %+v", test.name, route)
		}
		if (route.Condition != nil) != test.condition {
			t.Errorf("%s: condition %v, want one: %v", test.name, route.Condition, test.condition)
		}
	}
}

// TestConditionalSubmission guards against a job that is reported as stored although the configuration that chose its
// queue has been replaced, and against a stored job that is reported as rejected.
func TestConditionalSubmission(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	changed := describer.Item{
		Key:      configKey,
		Revision: 9,
	}
	cases := []struct {
		name      string
		commitErr error
		rejected  bool
	}{
		{
			name: "stored",
		},
		{
			name: "configuration changed",
			commitErr: &describer.ConflictError{
				Items: []describer.Item{changed},
			},
			rejected: true,
		},
		{
			name:      "configuration removed",
			commitErr: &describer.ConflictError{},
			rejected:  true,
		},
		{
			name: "job stored before",
			commitErr: &describer.ConflictError{
				Items: []describer.Item{
					changed,
					{
						Key:      persister.JobPrefix + id,
						Revision: 8,
					},
				},
			},
		},
		{
			name: "job ended before",
			commitErr: &describer.ConflictError{
				Items: []describer.Item{
					{
						Key:      persister.RecordPrefix + id,
						Revision: 8,
					},
				},
			},
		},
	}
	for _, test := range cases {
		store := &fakeStore{
			commitErr: test.commitErr,
		}
		route := plainRoute
		route.Condition = &describer.Expectation{
			Key:      configKey,
			Revision: 7,
		}
		err := newAdmitter(store, true).Submit(context.Background(), route, &describer.Job{
			ID: id,
		})
		var rejected *describer.RejectedError
		if errors.As(err, &rejected) != test.rejected || err != nil && !test.rejected {
			t.Errorf("%s: error %v, want rejected: %v", test.name, err, test.rejected)
		}
		if last := store.change.Expect[len(store.change.Expect)-1]; last != *route.Condition {
			t.Errorf("%s: stored on the condition %v, want %v", test.name, last, *route.Condition)
		}
	}
}
