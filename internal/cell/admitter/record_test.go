package admitter

import (
	"context"
	"testing"

	"pomelomoor/internal/cell/describer"
)

// TestOddRecord guards against a record of another writer that tells a caller that its job has an unknown state or does
// not exist.
func TestOddRecord(t *testing.T) {
	for _, record := range []string{`null`, `{}`, `{"State":99}`, `{"State":-1}`, `[`, `{"State":1e30}`} {
		store := &fakeStore{
			values: map[string]string{
				"record/odd": record,
			},
		}
		state, err := newAdmitter(store, true).State(context.Background(), describer.Route{}, "odd")
		if err == nil || state != describer.JobUnknown {
			t.Errorf("%s: state %s, error %v; want an error", record, state, err)
		}
	}
}
