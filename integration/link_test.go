package integration_test

import "testing"

// lasting returns a function that passes on what a constructor made, for the time of the test.
func lasting[T any](t testing.TB) func(made T, cleanup func(), err error) T {
	return func(made T, cleanup func(), err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		return made
	}
}
