package commander

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/node/decoder"
	"pomelomoor/internal/node/loader"
)

// readFile returns the content of file, or of input for a hyphen, and refuses more than limit bytes.
func readFile(file string, input io.Reader, limit int64) ([]byte, error) {
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() {
			// Nothing was written, so there is nothing to lose.
			_ = opened.Close()
		}()
		input = opened
	}
	document, err := io.ReadAll(io.LimitReader(input, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(document)) > limit {
		return nil, errors.Errorf("%s is larger than %d bytes", file, limit)
	}
	return document, nil
}

// readSettings returns the settings in file with all their faults in the error.
func (session *session) readSettings(file string) (loader.Settings, error) {
	document, err := session.read(file, loader.MaxDocument)
	if err != nil {
		return loader.Settings{}, err
	}
	return loader.Parse(file, document)
}

// revisioned is the form that get prints, and that apply takes back.
type revisioned struct {
	Revision uint64
	Document json.RawMessage
}

// ParseConfigFile reads a configuration alone, or one with its revision as get prints it.
// Known is false when the file tells no revision.
func ParseConfigFile(content []byte) (config parser.Config, revision uint64, known bool, err error) {
	var form revisioned
	if faults := decoder.Decode(content, &form); len(faults) == 0 && form.Document != nil {
		config, err = parser.Parse(form.Document)
		return config, form.Revision, true, err
	}
	config, err = parser.Parse(content)
	return config, 0, false, err
}

func (session *session) readConfig(file string) (config parser.Config, revision uint64, known bool, err error) {
	content, err := session.read(file, 2*parser.MaxDocumentBytes)
	if err != nil {
		return parser.Config{}, 0, false, err
	}
	config, revision, known, err = ParseConfigFile(bytes.TrimSpace(content))
	if err != nil {
		err = errors.Wrap(err, file)
	}
	return config, revision, known, err
}

// baseCurrent is the value of --base that gives up the protection against concurrent changes.
const baseCurrent = "current"

// base returns the revision on which an apply is based.
func (session *session) base(flag string, revision uint64, known bool) (uint64, error) {
	switch {
	case flag == baseCurrent:
		current, err := session.client.Config(session.ctx)
		return current.Revision, err
	case flag != "":
		base, err := strconv.ParseUint(flag, 10, 64)
		if err != nil {
			return 0, &exitError{
				code: ExitUsage,
				err:  errors.New("--base must be a revision or current"),
			}
		}
		return base, nil
	case known:
		return revision, nil
	default:
		return 0, &exitError{
			code: ExitUsage,
			err: errors.New("the file tells no revision to protect changes of others; " +
				"edit the output of get, or give --base REVISION, or --base current"),
		}
	}
}
