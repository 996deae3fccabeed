package queuer

import (
	"math"
	"time"
)

const (
	// The histogram has four buckets per doubling and covers 100 µs to about 100 s.
	bucketCount        = 80
	bucketsPerDoubling = 4
	firstBucketBound   = 100 * time.Microsecond
	tailQuantile       = 0.995
	samplesPerRefresh  = 16

	// weightGrowth is the factor by which each sample weighs more than the one before it. The weight
	// of a sample relative to new ones halves in about 700 samples.
	weightGrowth = 1.001
	maxWeight    = 1e12

	// staleAfter is the time without a completion after which the samples are discarded. Otherwise
	// the samples of one slow period could cause all work to be refused, and no completion would
	// correct them.
	staleAfter = 5 * time.Second
)

// serviceTimes estimates how long requests of one lane occupy a slot, from a histogram of weighted
// samples. The zero value has no samples and estimates zero.
type serviceTimes struct {
	counts       [bucketCount]float64
	sampleWeight float64
	weightedSum  float64
	totalWeight  float64
	samples      int
	lastSample   time.Time
	cachedTail   time.Duration
}

func (serviceTimes *serviceTimes) observe(now time.Time, took time.Duration) {
	if serviceTimes.stale(now) {
		// The old samples no longer describe the runners.
		*serviceTimes = newServiceTimes()
	}
	bucket := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(max(took, 1))/float64(firstBucketBound))))
	serviceTimes.counts[min(max(bucket, 0), bucketCount-1)] += serviceTimes.sampleWeight
	serviceTimes.weightedSum += serviceTimes.sampleWeight * float64(took)
	serviceTimes.totalWeight += serviceTimes.sampleWeight
	serviceTimes.sampleWeight *= weightGrowth
	serviceTimes.lastSample = now
	serviceTimes.samples++
	if serviceTimes.sampleWeight > maxWeight {
		serviceTimes.rescale()
	}
	if serviceTimes.samples%samplesPerRefresh == 1 {
		serviceTimes.cachedTail = serviceTimes.quantile(tailQuantile)
	}
}

func newServiceTimes() serviceTimes {
	return serviceTimes{
		sampleWeight: 1,
	}
}

func (serviceTimes *serviceTimes) stale(now time.Time) bool {
	return serviceTimes.totalWeight == 0 || now.Sub(serviceTimes.lastSample) > staleAfter
}

func (serviceTimes *serviceTimes) rescale() {
	for i := range serviceTimes.counts {
		serviceTimes.counts[i] /= serviceTimes.sampleWeight
	}
	serviceTimes.weightedSum /= serviceTimes.sampleWeight
	serviceTimes.totalWeight /= serviceTimes.sampleWeight
	serviceTimes.sampleWeight = 1
}

func (serviceTimes *serviceTimes) quantile(quantile float64) time.Duration {
	weightAbove := serviceTimes.totalWeight * (1 - quantile)
	for i := bucketCount - 1; i > 0; i-- {
		weightAbove -= serviceTimes.counts[i]
		if weightAbove < 0 {
			return time.Duration(float64(firstBucketBound) * math.Exp2(float64(i)/bucketsPerDoubling))
		}
	}
	return firstBucketBound
}

func (serviceTimes *serviceTimes) mean(now time.Time) time.Duration {
	if serviceTimes.stale(now) {
		return 0
	}
	return time.Duration(serviceTimes.weightedSum / serviceTimes.totalWeight)
}

// tail returns the service time at tailQuantile, the 99.5th percentile, of all samples by weight since
// they were last discarded. It is recomputed every samplesPerRefresh samples.
func (serviceTimes *serviceTimes) tail(now time.Time) time.Duration {
	if serviceTimes.stale(now) {
		return 0
	}
	return serviceTimes.cachedTail
}
