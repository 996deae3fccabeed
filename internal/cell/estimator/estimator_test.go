package estimator

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// TestSpeeds has workers of three speeds run the tasks of steps whose estimates are off by any factor, as run times vary
// from task to task. It guards against speeds that follow the estimates: work then goes to workers that had lucky jobs.
func TestSpeeds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	speeds := make([]Speed, 30)
	factorOf := func(index int) float64 {
		return []float64{0.8, 1, 1.25}[index%3]
	}
	for range 60 {
		work := math.Exp(random.NormFloat64())
		var comparison Comparison
		for range 20 {
			index := random.IntN(len(speeds))
			seconds := work * factorOf(index) * math.Exp(0.4*random.NormFloat64())
			comparison.Add(&speeds[index], time.Duration(seconds*float64(time.Second)))
		}
		comparison.Settle()
	}
	var sums [3]float64
	for index := range speeds {
		sums[index%3] += speeds[index].Factor() / 10
	}
	if sums[0] > 0.92 || sums[1] < 0.92 || sums[1] > 1.12 || sums[2] < 1.12 {
		t.Errorf("mean factors are %.2f, want about 0.8, 1 and 1.25", sums)
	}
}

// TestScripts runs the scripts in testdata. The first lines of each name the load that it answers. "run STEP WORKER TIME"
// adds a run, "settle STEP" ends a step, "sole WORKER RATIO" notes a run alone, "latency DATA-CENTRE TIME" an answer, and "want"
// lines compare workers, at a data centre each, for a task of some work and slack, or check a worker's factor.
func TestScripts(t *testing.T) {
	for _, name := range []string{"estimates-off", "hung-run", "one-worker", "short-and-long", "speed-changes"} {
		t.Run(name, func(t *testing.T) {
			file, err := os.Open("testdata/" + name + ".txt")
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := file.Close(); err != nil {
					t.Error(err)
				}
			}()
			script := newScript(t)
			for scanner := bufio.NewScanner(file); scanner.Scan(); {
				line, _, _ := strings.Cut(scanner.Text(), "#")
				if words := strings.Fields(line); len(words) > 0 {
					script.run(words)
				}
			}
		})
	}
}

type script struct {
	t         *testing.T
	speeds    map[string]*Speed
	latencies map[string]*Latency
	steps     map[string]*Comparison
	highest   time.Duration
}

func newScript(t *testing.T) *script {
	return &script{
		t:         t,
		speeds:    map[string]*Speed{},
		latencies: map[string]*Latency{},
		steps:     map[string]*Comparison{},
	}
}

func entry[Value any](values map[string]*Value, name string) *Value {
	if values[name] == nil {
		values[name] = new(Value)
	}
	return values[name]
}

func (script *script) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		script.t.Fatal(err)
	}
	return duration
}

func (script *script) run(words []string) {
	switch words[0] {
	case "run":
		entry(script.steps, words[1]).Add(entry(script.speeds, words[2]), script.duration(words[3]))
	case "settle":
		entry(script.steps, words[1]).Settle()
	case "sole":
		var ratio float64
		if _, err := fmt.Sscan(words[2], &ratio); err != nil {
			script.t.Fatal(err)
		}
		entry(script.speeds, words[1]).ObserveSole(ratio)
	case "latency":
		entry(script.latencies, words[1]).Note(script.duration(words[2]))
		script.highest = max(script.highest, script.duration(words[2]))
	case "want":
		script.want(words[1:])
	default:
		script.t.Fatalf("unknown instruction %q", words[0])
	}
}

// want checks "WORKER@DC <|= WORKER@DC WORK SLACK" or "WORKER between LOW HIGH".
func (script *script) want(words []string) {
	if words[1] == "between" {
		var low, high float64
		if _, err := fmt.Sscan(words[2]+" "+words[3], &low, &high); err != nil {
			script.t.Fatal(err)
		}
		if factor := entry(script.speeds, words[0]).Factor(); factor < low || factor > high {
			script.t.Errorf("factor of %s is %.3f, want %v to %v", words[0], factor, low, high)
		}
		return
	}
	task := NewTask(script.duration(words[3]), script.duration(words[4]), script.highest)
	factor := func(place string) float64 {
		worker, dataCentre, _ := strings.Cut(place, "@")
		return task.Factor(entry(script.speeds, worker), entry(script.latencies, dataCentre))
	}
	left, right := factor(words[0]), factor(words[2])
	if holds := map[string]bool{"<": left < right, "=": left == right}[words[1]]; !holds {
		script.t.Errorf("%s: factors are %.3f and %.3f", strings.Join(words, " "), left, right)
	}
}
