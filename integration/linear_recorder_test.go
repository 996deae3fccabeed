package integration_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
)

// historiesVariable names the directory below which failing histories are kept.
const historiesVariable = "POMELOMOOR_HISTORIES"

// recorder collects the operations of a concurrent run, by the name of the model that judges them.
type recorder struct {
	*verifier.History
}

func newRecorder() *recorder {
	return &recorder{
		History: verifier.New(),
	}
}

// check fails the test if the recorded history has no legal order, and keeps it then.
func (recorder *recorder) check(t testing.TB, name string, model porcupine.Model, notes string) {
	t.Helper()
	history := recorder.Operations(name)
	verdict := verifier.Judge(model, history)
	t.Logf("%s: %s, %d operations", name, verdict.Result, len(history))
	if verdict.Result == porcupine.Ok {
		return
	}
	directory, err := verifier.Keep(os.Getenv(historiesVariable), name, model, verdict, notes)
	if err != nil {
		t.Errorf("%s: the history could not be kept: %v", name, err)
	}
	t.Errorf("%s: the history is %s; see %s\n%.4000s", name, verdict.Result, directory, verifier.Text(model, verdict.Illegal))
}

// handmade is a small history that a model has to accept or to refuse.
type handmade struct {
	name    string
	legal   bool
	history []porcupine.Operation
}

// operation is an operation of a hand-made history.
func operation(call, end int64, input, output any) porcupine.Operation {
	return porcupine.Operation{
		Call:   call,
		Return: end,
		Input:  input,
		Output: output,
	}
}

func checkHandmade(t *testing.T, model porcupine.Model, cases []handmade) {
	t.Helper()
	t.Parallel()
	for _, test := range cases {
		verdict := verifier.Judge(model, test.history)
		if legal := verdict.Result == porcupine.Ok; legal != test.legal {
			t.Errorf("%s: %s\n%s", test.name, verdict.Result, verifier.Text(model, test.history))
		}
	}
}

// Guards against a failing history that cannot be looked at later.
func TestFailingHistoryIsKept(t *testing.T) {
	t.Setenv(historiesVariable, filepath.Join(t.TempDir(), "kept"))
	wrong := submission{"key", "wrong"}
	verdict := verifier.Judge(submissionModel, []porcupine.Operation{
		operation(0, 1, submission{"other", "right"}, submitted{
			Outcome: accepted,
		}),
		operation(0, verifier.Pending, wrong, submitted{
			Outcome: uncertain,
		}),
		operation(0, 1, wrong, submitted{
			Outcome: accepted,
			Job:     "1",
		}),
		operation(2, 3, wrong, submitted{
			Outcome: accepted,
			Job:     "2",
		}),
	})
	if verdict.Result != porcupine.Illegal || len(verdict.Illegal) != 3 {
		t.Fatalf("%s: %v", verdict.Result, verdict.Illegal)
	}
	directory, err := verifier.Keep(os.Getenv(historiesVariable), "submissions", submissionModel, verdict, "POMELOMOOR_SEED=7")
	if err != nil {
		t.Fatal(err)
	}
	for file, wanted := range map[string][]string{
		"submissions.html": {"<html", "Description:wrong"},
		"submissions.txt":  {"POMELOMOOR_SEED=7", "0s to open", "Description:wrong"},
	} {
		document, err := os.ReadFile(filepath.Join(directory, file))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range wanted {
			if !bytes.Contains(document, []byte(part)) {
				t.Errorf("%s does not contain %q", file, part)
			}
		}
		if bytes.Contains(document, []byte("Description:right")) {
			t.Errorf("%s contains operations that are not at fault", file)
		}
	}
}
