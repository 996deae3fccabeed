package accountant

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/work/descriptor"
)

// TestRoom reads the cases of testdata/room.json: each names the mistake about a cap that it guards against.
func TestRoom(t *testing.T) {
	document, err := os.ReadFile("testdata/room.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Guards           string
		Cap, Used, Needs descriptor.Resources
		Overage          float64
		Room             int
		Gang             int
		Fits, EverFits   bool
	}
	if err := json.Unmarshal(document, &cases); err != nil {
		t.Fatal(err)
	}
	for _, test := range cases {
		account := Account{
			Cap:     test.Cap,
			Overage: test.Overage,
		}
		account.Charge(test.Used)
		if room := account.Room(test.Needs); room != test.Room {
			t.Errorf("%s: room for %d, want %d", test.Guards, room, test.Room)
		}
		if fits := account.HasRoomForGang(test.Needs, test.Gang); fits != test.Fits {
			t.Errorf("%s: gang fits %v, want %v", test.Guards, fits, test.Fits)
		}
		if fits := account.CanEverHold(test.Needs, test.Gang); fits != test.EverFits {
			t.Errorf("%s: gang can ever fit %v, want %v", test.Guards, fits, test.EverFits)
		}
	}
}

// TestCapHolds guards against starts that bring an organisation above its cap by more than the overage or, with nothing else
// running, one task.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := Account{
			Cap: descriptor.Resources{
				MilliCPU:    rapid.Int64Range(0, 20).Draw(t, "cpu cap"),
				MemoryBytes: rapid.Int64Range(0, 20).Draw(t, "memory cap"),
			},
			Overage: 0.1,
		}
		var running []descriptor.Resources
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				account.Credit(running[0])
				running = running[1:]
				continue
			}
			needs := descriptor.Resources{
				MilliCPU:    rapid.Int64Range(0, 8).Draw(t, "cpu"),
				MemoryBytes: rapid.Int64Range(0, 8).Draw(t, "memory"),
			}
			count := rapid.IntRange(1, 5).Draw(t, "count")
			if rapid.Bool().Draw(t, "gang") {
				if !account.HasRoomForGang(needs, count) {
					continue
				}
			} else {
				count = min(count, account.Room(needs))
			}
			for range count {
				account.Charge(needs)
				running = append(running, needs)
				used, limit := account.Used(), account.Cap
				if limit.MilliCPU > 0 && float64(used.MilliCPU) > 1.1*float64(limit.MilliCPU)+float64(needs.MilliCPU) ||
					limit.MemoryBytes > 0 && float64(used.MemoryBytes) > 1.1*float64(limit.MemoryBytes)+float64(needs.MemoryBytes) {
					t.Fatalf("a start of %+v brings the use to %+v with the cap %+v", needs, used, limit)
				}
			}
		}
	})
}

// TestEntitlement guards against callers who lose their entitlement to the crest of a wave, and against one organisation
// that sends far more than its jobs a second and takes the place of others with them.
func TestEntitlement(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		weight      float64
		perSecond   int
		least, most int
	}{
		{
			name:      "within",
			weight:    10,
			perSecond: 9,
			least:     180,
			most:      180,
		},
		{
			name:      "six times as many",
			weight:    10,
			perSecond: 60,
			least:     200,
			most:      250,
		},
		{
			name:      "no weight",
			perSecond: 5,
		},
	} {
		account := Account{
			Weight: test.weight,
		}
		entitled := 0
		for index := range 20 * test.perSecond {
			if account.Arrive(start.Add(time.Duration(index) * time.Second / time.Duration(test.perSecond))) {
				entitled++
			}
		}
		if entitled < test.least || entitled > test.most {
			t.Errorf("%s: entitled to %d jobs, want %d to %d", test.name, entitled, test.least, test.most)
		}
	}
}
