// Package tomlfile reads TOML files that operators write, and reports each error with its
// file, line and key.
//
// The package defines the format of these errors and the maximum size of a file. The caller
// decides which values are valid.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 1 << 20

// Read reads a file. It returns an error if the file is larger than MaxFileBytes.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return text, checkSize(path, text)
}

func checkSize(file string, text []byte) error {
	if len(text) > MaxFileBytes {
		return &Error{File: file, Text: fmt.Sprintf("the file has more than %d bytes", MaxFileBytes)}
	}
	return nil
}

// Decode decodes a TOML text into a struct. A key without a field in the struct is an error.
// The returned error joins one *Error for each problem. file is the file's name in these errors.
func Decode(file string, text []byte, into any) (*Checker, error) {
	if err := checkSize(file, text); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, decodeErrors(file, err)
	}
	return &Checker{file: file, lines: keyLines(text)}, nil
}

// decodeErrors converts an error of the decoder to joined *Error values.
func decodeErrors(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys):
		var all []error
		for i := range unknownKeys.Errors {
			all = append(all, decodeError(file, &unknownKeys.Errors[i], "unknown key"))
		}
		return errors.Join(all...)
	case errors.As(err, &invalid):
		return errors.Join(decodeError(file, invalid, strings.TrimPrefix(invalid.Error(), "toml: ")))
	}
	return errors.Join(&Error{File: file, Text: err.Error()})
}

func decodeError(file string, err *toml.DecodeError, text string) *Error {
	line, _ := err.Position()
	return &Error{File: file, Line: line, Key: strings.Join(err.Key(), "."), Text: text}
}
