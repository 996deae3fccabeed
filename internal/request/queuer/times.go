package queuer

import (
	"math"
	"time"
)

const (
	// buckets covers 100 µs to about 100 s in steps of a quarter of a doubling.
	buckets       = 80
	perDoubling   = 4
	firstBucket   = 100 * time.Microsecond
	tailQuantile  = 0.995
	refreshPeriod = 16

	// growth weighs a newer sample more, which forgets half of the past in about 700 samples.
	growth    = 1.001
	maxWeight = 1e12

	// staleAfter forgets times that no completion confirms. Otherwise one slow spell would refuse
	// all work whose completions could correct it.
	staleAfter = 5 * time.Second
)

// times learns how long requests of one lane hold a slot. The zero value knows nothing and
// predicts zero.
type times struct {
	counts  [buckets]float64
	weight  float64
	sum     float64
	total   float64
	samples int
	last    time.Time
	high    time.Duration
}

func (times *times) learn(now time.Time, took time.Duration) {
	if times.stale(now) {
		// What was learned before does not describe the runners any more.
		*times = newTimes()
	}
	bucket := int(math.Ceil(perDoubling * math.Log2(float64(max(took, 1))/float64(firstBucket))))
	times.counts[min(max(bucket, 0), buckets-1)] += times.weight
	times.sum += times.weight * float64(took)
	times.total += times.weight
	times.weight *= growth
	times.last = now
	times.samples++
	if times.weight > maxWeight {
		times.rescale()
	}
	if times.samples%refreshPeriod == 1 {
		times.high = times.quantile(tailQuantile)
	}
}

func newTimes() times {
	return times{
		weight: 1,
	}
}

func (times *times) stale(now time.Time) bool {
	return times.total == 0 || now.Sub(times.last) > staleAfter
}

func (times *times) rescale() {
	for i := range times.counts {
		times.counts[i] /= times.weight
	}
	times.sum /= times.weight
	times.total /= times.weight
	times.weight = 1
}

func (times *times) quantile(quantile float64) time.Duration {
	above := times.total * (1 - quantile)
	for i := buckets - 1; i > 0; i-- {
		above -= times.counts[i]
		if above < 0 {
			return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/perDoubling))
		}
	}
	return firstBucket
}

func (times *times) mean(now time.Time) time.Duration {
	if times.stale(now) {
		return 0
	}
	return time.Duration(times.sum / times.total)
}

// tail returns the time that all but one in two hundred requests stay below.
func (times *times) tail(now time.Time) time.Duration {
	if times.stale(now) {
		return 0
	}
	return times.high
}
