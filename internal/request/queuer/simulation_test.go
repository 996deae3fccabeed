package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/measure/streamer"
	"pomelomoor/internal/request/queuer"
)

const (
	// simulationSeed seeds the request streams of the benchmarks.
	simulationSeed = 7
	meanService    = streamer.MeanServiceTime
)

var epoch = streamer.StartTime

// runVariants serves fresh copies of the same requests with the system and with the FIFO baseline, and
// reports on each.
func runVariants(b *testing.B, members int, draw func() []*streamer.Request, report func(*testing.B, []*streamer.Request)) {
	b.Helper()
	for i, name := range []string{"system", "fifo"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				system, baseline := streamer.SimulateBoth(members, draw)
				report(b, [][]*streamer.Request{system, baseline}[i])
			}
		})
	}
}

func percentile(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(share*float64(len(values)-1))]) / float64(time.Millisecond)
}

// BenchmarkBurst measures goodput while demand rises within one second from 0.6 to 3 times the
// capacity of the slots.
func BenchmarkBurst(b *testing.B) {
	for _, deadline := range []time.Duration{5 * meanService, 10 * meanService, 50 * meanService} {
		b.Run(fmt.Sprint("deadline=", deadline), func(b *testing.B) {
			runVariants(b, 1, func() []*streamer.Request {
				return streamer.GenerateBurst(simulationSeed, deadline)
			}, func(b *testing.B, requests []*streamer.Request) {
				goodput, slotTime := streamer.Goodput(requests)
				b.ReportMetric(100*goodput, "goodput-%")
				b.ReportMetric(100*slotTime, "slot-time-%")
			})
		})
	}
}

// BenchmarkStragglers measures waits at 85 % slot utilization when 5 % of the requests take 20 times
// as long as the rest.
func BenchmarkStragglers(b *testing.B) {
	for _, members := range []int{1, streamer.RegionInstances} {
		for _, lengths := range []string{"exponential", "constant"} {
			b.Run(fmt.Sprintf("members=%d/lengths=%s", members, lengths), func(b *testing.B) {
				runVariants(b, members, func() []*streamer.Request {
					return streamer.GenerateStragglers(simulationSeed, members, lengths == "constant")
				}, reportWaits)
			})
		}
	}
}

func reportWaits(b *testing.B, requests []*streamer.Request) {
	waits := streamer.Waits(requests)
	b.ReportMetric(percentile(waits[parser.LaneShort], 0.99), "short-p99-ms")
	b.ReportMetric(percentile(waits[parser.LaneLong], 0.99), "long-p99-ms")
	served := len(waits[parser.LaneShort]) + len(waits[parser.LaneLong])
	b.ReportMetric(100*float64(served)/float64(len(requests)), "served-%")
}

// BenchmarkFairness measures the share of requests served in time for a normal caller, whose demand is
// a fifth of the capacity, and a greedy caller, whose demand is three times the capacity.
func BenchmarkFairness(b *testing.B) {
	runVariants(b, 1, func() []*streamer.Request {
		return streamer.Generate(simulationSeed, 1, 10*time.Second, func(time.Duration) float64 {
			return 3.2
		}, func(random *rand.Rand, request *streamer.Request) {
			request.Item.Caller = "greedy"
			if random.IntN(16) == 0 {
				request.Item.Caller = "normal"
			}
		})
	}, func(b *testing.B, requests []*streamer.Request) {
		count, inTime := map[string]int{}, map[string]int{}
		for _, request := range requests {
			count[request.Item.Caller]++
			if request.InTime() {
				inTime[request.Item.Caller]++
			}
		}
		for _, caller := range []string{"normal", "greedy"} {
			b.ReportMetric(100*float64(inTime[caller])/float64(count[caller]), caller+"-in-time-%")
		}
	})
}

// BenchmarkDecision measures admission, queueing, runner selection and release of one request, with
// 50 runners and 1,000 waiting requests of 100 callers.
func BenchmarkDecision(b *testing.B) {
	system := streamer.NewInstance(50)
	system.Router.SetMembers([]string{"a", "b", "c"})
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	now, index := epoch, 0
	offer := func() {
		now = now.Add(time.Microsecond)
		system.Offer(now, index, &streamer.Request{
			Item: queuer.Item{
				ID:       ids[index%len(ids)],
				Caller:   ids[index%100],
				Deadline: now.Add(time.Hour),
			},
		})
		index++
	}
	for range 1000 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		id, ok := system.Next(now)
		if !ok {
			b.Fatal("no slot is free")
		}
		system.Done(now, id, &streamer.Request{
			ServiceTime: meanService,
		})
	}
}
