// Package tomlfile reads the TOML files that an operator writes, and tells of
// each thing that is wrong in one with file, line and key.
//
// It owns the form of these errors and the bound on a file's size. What values
// are right, the caller says.
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

// MaxFileBytes is how many bytes a file may have.
const MaxFileBytes = 1 << 20

// Read reads a file of at most MaxFileBytes.
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
		return &Error{File: file, Text: fmt.Sprintf("more than %d bytes", MaxFileBytes)}
	}
	return nil
}

// Decode reads a text into a struct; keys that it does not have are errors. The
// error joins one Error for each thing that is wrong. file is the name for errors.
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

// decodeErrors makes an Error of each that the decoder found.
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
