package profiler

import "testing"

// Bench runs trials as benchmarks.
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
