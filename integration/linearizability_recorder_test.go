package integration_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
)

// historiesVariable names the environment variable with the directory in which failing histories are saved.
const historiesVariable = "POMELOMOOR_HISTORIES"

// recorder collects the operations of a concurrent run, grouped by the name of the model that they are checked against.
type recorder struct {
	*verifier.History
}

func newRecorder() *recorder {
	return &recorder{
		History: verifier.New(),
	}
}

// check fails the test and saves the history if it is not linearizable.
func (recorder *recorder) check(t testing.TB, name string, model porcupine.Model, notes string) {
	t.Helper()
	history := recorder.Operations(name)
	analysis := verifier.Check(model, history)
	t.Logf("%s: %s, %d operations", name, analysis.Result, len(history))
	if analysis.Result == porcupine.Ok {
		return
	}
	directory, err := verifier.Save(os.Getenv(historiesVariable), name, model, analysis, notes)
	if err != nil {
		t.Errorf("%s: the history could not be saved: %v", name, err)
	}
	t.Errorf("%s: the history is %s; see %s\n%.4000s", name, analysis.Result, directory, verifier.Format(model, analysis.Illegal))
}

// modelCase is a small history that a model must accept or reject.
type modelCase struct {
	name    string
	legal   bool
	history []porcupine.Operation
}

// operation returns an operation of a modelCase.
func operation(call, end int64, input, output any) porcupine.Operation {
	return porcupine.Operation{
		Call:   call,
		Return: end,
		Input:  input,
		Output: output,
	}
}

func checkModel(t *testing.T, model porcupine.Model, cases []modelCase) {
	t.Helper()
	t.Parallel()
	for _, test := range cases {
		analysis := verifier.Check(model, test.history)
		if legal := analysis.Result == porcupine.Ok; legal != test.legal {
			t.Errorf("%s: %s\n%s", test.name, analysis.Result, verifier.Format(model, test.history))
		}
	}
}

// Guards against a failing history that is not saved for analysis.
func TestFailingHistoryIsKept(t *testing.T) {
	t.Setenv(historiesVariable, filepath.Join(t.TempDir(), "kept"))
	conflicting := submission{"key", "wrong"}
	analysis := verifier.Check(submissionModel, []porcupine.Operation{
		operation(0, 1, submission{"other", "right"}, submissionResponse{
			Outcome: accepted,
		}),
		operation(0, verifier.Pending, conflicting, submissionResponse{
			Outcome: uncertain,
		}),
		operation(0, 1, conflicting, submissionResponse{
			Outcome: accepted,
			Job:     "1",
		}),
		operation(2, 3, conflicting, submissionResponse{
			Outcome: accepted,
			Job:     "2",
		}),
	})
	if analysis.Result != porcupine.Illegal || len(analysis.Illegal) != 3 {
		t.Fatalf("%s: %v", analysis.Result, analysis.Illegal)
	}
	directory, err := verifier.Save(os.Getenv(historiesVariable), "submissions", submissionModel, analysis, "POMELOMOOR_SEED=7")
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
			t.Errorf("%s contains operations of a partition that is linearizable", file)
		}
	}
}
