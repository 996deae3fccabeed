package imitator

import (
	"testing"

	"pomelomoor/internal/measure/profiler"
)

func BenchmarkWorkers(b *testing.B) { profiler.Bench(b, Workers()) }

func BenchmarkTasks(b *testing.B) { profiler.Bench(b, Tasks()) }

func BenchmarkEnded(b *testing.B) { profiler.Bench(b, Ended()) }

func BenchmarkKeys(b *testing.B) { profiler.Bench(b, Keys()) }

func BenchmarkStarts(b *testing.B) { profiler.Bench(b, Starts()) }

func BenchmarkWaiting(b *testing.B) { profiler.Bench(b, Waiting()) }
