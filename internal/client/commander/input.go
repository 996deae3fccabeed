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

// readFile returns the content of file, or of input if file is a hyphen. Content of more than maxBytes bytes is
// an error.
func readFile(file string, input io.Reader, maxBytes int64) ([]byte, error) {
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer func() {
			// The file was only read, so an error of Close loses no data.
			_ = opened.Close()
		}()
		input = opened
	}
	document, err := io.ReadAll(io.LimitReader(input, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(document)) > maxBytes {
		return nil, errors.Errorf("%s is larger than %d bytes", file, maxBytes)
	}
	return document, nil
}

// readSettings returns the settings in file. The error lists all faults of the file.
func (session *session) readSettings(file string) (loader.Settings, error) {
	document, err := session.readDocument(file, loader.MaxDocumentBytes)
	if err != nil {
		return loader.Settings{}, err
	}
	return loader.Parse(file, document)
}

// configFile is a configuration with its revision, as get prints it and apply accepts it.
type configFile struct {
	Revision uint64
	Document json.RawMessage
}

// ParseConfigFile parses a configuration, or a configuration with its revision as get prints it.
// HasRevision is false if the file contains no revision.
func ParseConfigFile(content []byte) (config parser.Config, revision uint64, hasRevision bool, err error) {
	var file configFile
	if faults := decoder.Decode(content, &file); len(faults) == 0 && file.Document != nil {
		config, err = parser.Parse(file.Document)
		return config, file.Revision, true, err
	}
	config, err = parser.Parse(content)
	return config, 0, false, err
}

func (session *session) readConfig(file string) (config parser.Config, revision uint64, hasRevision bool, err error) {
	content, err := session.readDocument(file, 2*parser.MaxDocumentBytes)
	if err != nil {
		return parser.Config{}, 0, false, err
	}
	config, revision, hasRevision, err = ParseConfigFile(bytes.TrimSpace(content))
	if err != nil {
		err = errors.Wrap(err, file)
	}
	return config, revision, hasRevision, err
}

// baseCurrent is the value of --base that overwrites the configuration in force, whatever its revision.
const baseCurrent = "current"

// resolveBase returns the base revision of an apply: the value of --base, or the revision in the file.
func (session *session) resolveBase(flag string, revision uint64, hasRevision bool) (uint64, error) {
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
	case hasRevision:
		return revision, nil
	default:
		return 0, &exitError{
			code: ExitUsage,
			err: errors.New("the file contains no revision, so concurrent changes cannot be detected; " +
				"edit the output of get, or give --base REVISION, or --base current"),
		}
	}
}
