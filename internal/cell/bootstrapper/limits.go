package bootstrapper

import (
	"context"
	"time"

	"pomelomoor/internal/node/limiter"
	"pomelomoor/platform"
)

const (
	// budgetShare is the part of the memory that large bodies and headers of clients may use, and connectionShare the one
	// for their connections, as divisors. The instance itself needs some 40 MB, and a leader more.
	budgetShare     = 8
	connectionShare = 4
	// frontSocketShare and peerSocketShare are the parts of the sockets for callers and for other instances, as divisors,
	// and probeSocketShare those of readiness probes and of readers of metrics. The rest is for the store, the workers,
	// the advice service and calls to other instances.
	frontSocketShare = 4
	peerSocketShare  = 8
	probeSocketShare = 32
	// maxWithdrawalShare is the share of the store's writes that withdrawals of one organisation may take at all instances
	// together. minWithdrawals is the least for each instance, a second.
	maxWithdrawalShare = 0.1
	minWithdrawals     = 1
	// limitsInterval is the interval at which the use of the limits is reported.
	limitsInterval = time.Second
)

// limits bound what clients can use of an instance.
type limits struct {
	limiter *limiter.Limiter
	front   *limiter.Port
	ready   *limiter.Port
	metrics *limiter.Port
	peers   *limiter.Port
}

// newLimits returns the limits that follow from the memory and the sockets in the settings.
func newLimits(settings platform.Settings) limits {
	shared := limiter.New(settings.MemoryBytes / budgetShare)
	maxByMemory := int(settings.MemoryBytes / connectionShare / limiter.ConnectionBytes)
	return limits{
		limiter: shared,
		front:   shared.NewPort("Front", min(settings.MaxSockets/frontSocketShare, maxByMemory)),
		ready:   shared.NewPort("Ready", settings.MaxSockets/probeSocketShare),
		metrics: shared.NewPort("Metrics", settings.MaxSockets/probeSocketShare),
		peers:   shared.NewPort("Peers", settings.MaxSockets/peerSocketShare),
	}
}

// reportLimits reports what clients use, and whom the limits have refused, until ctx is done.
func (instance *Instance) reportLimits(ctx context.Context) error {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			instance.observer.ClientLimits(instance.limits.limiter.Usage())
		}
	}
}

// maxWithdrawals returns the number of withdrawals a second that this instance stores for each organisation.
func (instance *Instance) maxWithdrawals() float64 {
	return max(maxWithdrawalShare*instance.settings.WritesPerSecond/float64(max(len(instance.elector.View().Members), 1)), minWithdrawals)
}
