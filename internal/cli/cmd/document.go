package cmd

import (
	"io"
	"os"

	"github.com/juju/errors"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
)

func parseDocument(name string) (*document.Document, error) {
	data, err := readDocument(name)
	if err != nil {
		return nil, err
	}

	return document.Parse(name, data)
}

// readDocument reads a document file, which may be "-" for standard input.
func readDocument(name string) ([]byte, error) {
	if name == "" {
		return nil, errors.New("-file is missing")
	}

	if name == "-" {
		return readLimited(os.Stdin)
	}

	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer file.Close() //nolint:errcheck // the file was only read

	return readLimited(file)
}

// readLimited reads a document and refuses one that is too large for the
// controllers.
func readLimited(reader io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, control.MaxDocument+1))
	if err != nil {
		return nil, errors.Trace(err)
	}

	if len(data) > control.MaxDocument {
		return nil, errors.Errorf("the document exceeds %d bytes", control.MaxDocument)
	}

	return data, nil
}
