package profiler

import "testing"

// Bench runs each trial as a sub-benchmark.
func Bench(b *testing.B, trials []Trial) {
	b.Helper()
	for _, trial := range trials {
		b.Run(trial.Name, func(b *testing.B) {
			if err := trial.Measure(b); err != nil {
				b.Fatal(err)
			}
		})
	}
}
