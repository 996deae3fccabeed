package courier

import (
	"testing"
	"time"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

// TestTruncatedEndsCarried guards against a truncated list of ends that a courier passes on as a complete one. A courier of
// an earlier version does not say which it is.
func TestTruncatedEndsCarried(t *testing.T) {
	id, err := describer.ParseTaskID("aa.0.1.2")
	if err != nil {
		t.Fatal(err)
	}
	ends := []describer.EndedRun{{
		Number:  1,
		Task:    id,
		Run:     1,
		Outcome: describer.OutcomeDone,
	}}
	for _, test := range []struct {
		name      string
		ended     []describer.EndedRun
		truncated bool
		earlier   bool
		want      bool
	}{
		{
			name:  "complete",
			ended: ends,
		},
		{
			name:      "truncated",
			ended:     ends,
			truncated: true,
			want:      true,
		},
		{
			name:    "earlier version",
			ended:   ends,
			earlier: true,
			want:    true,
		},
		{
			name:    "earlier version without ends",
			earlier: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			answer := &cellpb.WorkerAnswer{}
			pollAnswerToProto(answer, &describer.PollAnswer{
				Incarnation:   time.UnixMilli(1),
				Ended:         test.ended,
				EndsTruncated: test.truncated,
			})
			if test.earlier {
				answer.EndsComplete = false
			}
			poll, err := pollAnswerFromProto(answer)
			if err != nil || poll.EndsTruncated != test.want || len(poll.Ended) != len(test.ended) {
				t.Errorf("%d ends, truncated %t, %v", len(poll.Ended), poll.EndsTruncated, err)
			}
		})
	}
}
