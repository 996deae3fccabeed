package integration_test

import "testing"

// withCleanup returns a function that takes the results of a constructor, fails the test on an error, and releases the
// created value at the end of the test.
func withCleanup[T any](t testing.TB) func(made T, cleanup func(), err error) T {
	return func(made T, cleanup func(), err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		return made
	}
}
