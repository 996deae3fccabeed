package manager_test

import (
	"fmt"
	"math"
	"testing"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/shard/manager"
)

// TestWriteShare guards against write shares of the owners that exceed the budget in total, and against
// shares for instances without shards at the owners' expense.
func TestWriteShare(t *testing.T) {
	const budget = 60
	for _, test := range []struct {
		shards []int
		want   []float64
	}{
		{shards: []int{0, 0, 0}, want: []float64{20, 20, 20}},
		{shards: []int{1, 1, 1, 0, 0, 0, 0, 0}, want: []float64{20, 20, 20, 7.5, 7.5, 7.5, 7.5, 7.5}},
		{shards: []int{3, 2, 1}, want: []float64{30, 20, 10}},
		{shards: []int{5, 0}, want: []float64{60, 10}},
	} {
		var live []*peerpb.Member
		for i, count := range test.shards {
			live = append(live, &peerpb.Member{
				Id:     fmt.Sprint(i),
				Shards: make([]*peerpb.OwnedShard, count),
			})
		}
		ownersTotal := 0.0
		for i, want := range test.want {
			got := float64(manager.WriteShare(fmt.Sprint(i), budget, live))
			if math.Abs(got-want) > 1e-9 {
				t.Errorf("%v: instance %d has %v, want %v", test.shards, i, got, want)
			}
			if test.shards[i] > 0 {
				ownersTotal += got
			}
		}
		if ownersTotal > budget+1e-9 {
			t.Errorf("%v: the owners' shares add up to %v of a budget of %d", test.shards, ownersTotal, budget)
		}
	}
}
