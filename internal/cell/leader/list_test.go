package leader

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
)

// pagedStore lists its keys in pages of pageSize, each after latency. Each failAfter-th call fails.
type pagedStore struct {
	describer.Store

	keys      []string
	pageSize  int
	latency   time.Duration
	failAfter int

	mutex  sync.Mutex
	calls  int
	failed int
}

func (pagedStore *pagedStore) List(_ context.Context, prefix, after string) (describer.Page, error) {
	time.Sleep(pagedStore.latency)
	pagedStore.mutex.Lock()
	defer pagedStore.mutex.Unlock()
	pagedStore.calls++
	if pagedStore.failAfter > 0 && pagedStore.calls%pagedStore.failAfter == 0 {
		pagedStore.failed++
		return describer.Page{}, describer.ErrUncertain
	}
	page := describer.Page{
		At: describer.Revision(pagedStore.calls),
	}
	for _, key := range pagedStore.keys {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page.Items) == pagedStore.pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, describer.Item{
			Key: key,
		})
	}
	return page, nil
}

// TestLoadTime guards against a cell without a leader for seconds because the records of ended jobs are read page by
// page over a round trip each: 10,000 jobs of the last minutes.
func TestLoadTime(t *testing.T) {
	for _, test := range []struct {
		name      string
		failAfter int
		longest   time.Duration
	}{
		{name: "all calls succeed", longest: 500 * time.Millisecond},
		{name: "every seventh call fails", failAfter: 7, longest: 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &pagedStore{
					pageSize:  500,
					latency:   64 * time.Millisecond,
					failAfter: test.failAfter,
				}
				for index := range 10000 {
					store.keys = append(store.keys, fmt.Sprintf("%s%04x%012x", persister.RecordPrefix, index*6, index))
				}
				leader := &Leader{
					options: Options{
						Store:    store,
						Observer: discardObserver{},
					},
				}
				startTime := time.Now()
				items, at, err := leader.listByID(t.Context(), persister.RecordPrefix)
				took := time.Since(startTime)
				if err != nil || len(items) != len(store.keys) || at != 1 {
					t.Errorf("%d of %d items at revision %d, %v", len(items), len(store.keys), at, err)
				}
				if took > test.longest {
					t.Errorf("took %v, want at most %v", took, test.longest)
				}
				// A failed call repeats its own page only.
				if pages := store.calls - store.failed; pages > 22+20 {
					t.Errorf("%d pages were read", pages)
				}
			})
		})
	}
}
