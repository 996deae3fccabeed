package leader

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/watcher"
)

const (
	// listRetryDelay is the delay before a failed list call to the store is repeated.
	listRetryDelay = 100 * time.Millisecond
	// idDigits are the first digits of job IDs.
	idDigits = "0123456789abcdefABCDEF"
	// maxOpenLists limits the list calls under one prefix that are open at the same time. A page of the store holds
	// 500 items, and the round trip between regions takes 60 ms, so that a cell with thousands of jobs would be
	// without a leader for seconds if its pages were read one after the other.
	maxOpenLists = 8
)

// listInbox reads the jobs and the cancellations. It returns the lowest revision of its pages.
func (leader *Leader) listInbox(ctx context.Context) (items []describer.Item, at describer.Revision, err error) {
	items, at, err = leader.listByID(ctx, persister.JobPrefix)
	if err != nil {
		return nil, 0, err
	}
	cancellations, cancellationsAt, err := leader.list(ctx, persister.CancelPrefix)
	return append(items, cancellations...), min(at, cancellationsAt), err
}

// listByID reads the items whose keys are prefix and a job ID, in parallel by the first digit of the ID. It returns the
// lowest revision of its pages.
func (leader *Leader) listByID(ctx context.Context, prefix string) (items []describer.Item, at describer.Revision, err error) {
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxOpenLists)
	for _, digit := range idDigits {
		group.Go(func() error {
			part, partAt, err := leader.list(ctx, prefix+string(digit))
			mutex.Lock()
			defer mutex.Unlock()
			items = append(items, part...)
			if at == 0 || partAt < at {
				at = partAt
			}
			return err
		})
	}
	err = group.Wait()
	slices.SortFunc(items, func(left, right describer.Item) int {
		return cmp.Compare(left.Key, right.Key)
	})
	return items, at, err
}

// list reads all items under a prefix, page by page, and returns the revision of the first page. It repeats a page that
// failed until the call succeeds or ctx is cancelled.
func (leader *Leader) list(ctx context.Context, prefix string) (items []describer.Item, at describer.Revision, err error) {
	after := ""
	for {
		page, err := leader.options.Store.List(ctx, prefix, after)
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		if err != nil {
			leader.options.Observer.EntryUnreadable("list", prefix, err)
			watcher.Sleep(ctx, listRetryDelay)
			continue
		}
		if at == 0 {
			at = page.At
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
