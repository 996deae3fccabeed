package loader

import (
	"net/netip"
	"strings"
	"testing"
)

const minimal = `{"Region": "oberland", "Site": "oberland-hof", "Store": ["127.0.0.1:7001"], "List": "127.0.0.1:7002"`

// TestMinimal guards against defaults that fail the validation, and against a file that sets one field of a group
// and thereby loses the defaults of the others.
func TestMinimal(t *testing.T) {
	settings, err := Parse("a.json", []byte(minimal+`, "Timeouts": {"Drain": "5s"}}`))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Timeouts.Drain.String() != "5s" || settings.Timeouts.StoreLease.String() != "4s" {
		t.Errorf("fields that the file does not set lost their defaults: %+v", settings.Timeouts)
	}
	if len(settings.Shards) != 1 || settings.Shards[0].Site != "oberland-hof" {
		t.Errorf("got shards %v", settings.Shards)
	}
	if id := settings.InstanceID(netip.MustParseAddrPort("10.0.0.1:81")); id != "oberland-hof-10.0.0.1-81" {
		t.Errorf("got ID %s", id)
	}
}

// TestValidationErrors guards against invalid settings that are accepted, and against errors that are hidden by
// another one or reported twice.
func TestValidationErrors(t *testing.T) {
	for _, test := range []struct {
		name, document string
		errs           []string
	}{
		{"syntax", "{\n\"Region\": }", []string{"(document): is malformed JSON at line 2: invalid character '}' looking for beginning of value"}},
		{"empty", "", []string{"(document): is empty"}},
		{"list", "[]", []string{"(document): must be an object"}},
		{"null", minimal + `, "ID": null}`, []string{"ID: is null"}},
		{"lower case", minimal + `, "id": "a"}`, []string{"id: is not known"}},
		{"twice", minimal + `, "ID": "a", "ID": "b"}`, []string{"ID: is given twice"}},
		{"missing", "{}", []string{"Region: is missing", "Site: is missing", "Store: is missing", "List: is missing"}},
		{
			"many", `{"Region": 5, "Site": "a b", "Store": ["x", "127.0.0.1:0"], "List": "0.0.0.0:5", "Peer": "0.0.0.0:0",
			"Shards": [{"Region": "a", "Site": "a", "Count": 1}, {"Region": "a", "Site": "a", "Count": 65, "Rack": 1}],
			"Limits": {"Calls": 0, "Calling": 1}, "Timeouts": {"Drain": "soon", "StoreLease": "1s"}}`,
			[]string{
				"Region: cannot be a number",
				"Store[0]: not an ip:port",
				"Shards[1].Rack: is not known",
				"Limits.Calling: is not known",
				`Timeouts.Drain: "soon" is no duration such as 1m30s`,
				"Site: must be 1 to 64",
				"Peer: must be the address of one interface",
				"Store[1]: has port 0",
				"List: must not be an unspecified address",
				"Shards[1].Count: must be between 1 and 64",
				"Shards[1].Site: is listed twice",
				"Limits.Calls: must be at least 1",
				"Intervals.LeaseRenewal: must be at most half",
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("a.json", []byte(test.document))
			if err == nil {
				t.Fatal("accepted")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(test.errs) {
				t.Fatalf("got %d errors, want %d:\n%s", len(lines), len(test.errs), err)
			}
			for i, line := range lines {
				if !strings.HasPrefix(line, "a.json: "+test.errs[i]) {
					t.Errorf("got %q, want %q", line, test.errs[i])
				}
			}
		})
	}
}

// FuzzParse guards against panics and against an unbounded number of errors.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal + "}"))
	f.Add([]byte(`{"Shards": [{"Count": 1e99}], "Limits": [], "Store": {"a": 1}, "\u0000": 1}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		settings, err := Parse("f", document)
		if err == nil && (settings.Region == "" || len(settings.Shards) == 0) {
			t.Errorf("accepted %+v", settings)
		}
		if err != nil && strings.Count(err.Error(), "\n") > 64+len(document) {
			t.Errorf("%d errors for %d bytes", strings.Count(err.Error(), "\n"), len(document))
		}
	})
}
