package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The model is a simple blocking parser. It has the whole input at hand and reads one command after
// another from it.

// result is a command's arguments, or its error.
type result struct {
	args []string
	err  string
}

func commandResult(args [][]byte, err error) (r result) {
	if err != nil {
		return result{err: err.Error()}
	}
	for _, arg := range args {
		r.args = append(r.args, string(arg))
	}
	return r
}

// model returns the results that a Reader must have for input.
func model(input []byte) (results []result) {
	in := bufio.NewReader(bytes.NewReader(input))
	for {
		args, err := modelReadCommand(in)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return results
		}
		results = append(results, commandResult(args, err))
		if err != nil && !errors.Is(err, ErrTooLong) {
			return results
		}
	}
}

func modelReadCommand(in *bufio.Reader) (args [][]byte, err error) {
	argCount, err := modelReadHeader(in, '*')
	if err != nil {
		return nil, err
	}
	if argCount < 1 || argCount > MaxArgs {
		return nil, fmt.Errorf("command of %d arguments", argCount)
	}
	tooLong := false
	for i := range argCount {
		arg, err := modelReadArg(in)
		if err != nil {
			return nil, err
		}
		tooLong = tooLong || len(arg) > MaxBodyBytes || len(arg) > MaxArgBytes && i < argCount-1
		args = append(args, arg)
	}
	if tooLong {
		return nil, ErrTooLong
	}
	return args, nil
}

func modelReadArg(in *bufio.Reader) ([]byte, error) {
	size, err := modelReadHeader(in, '$')
	if err != nil {
		return nil, err
	}
	if size < 0 || size > MaxSkippedBytes {
		return nil, fmt.Errorf("argument of %d bytes", size)
	}
	arg := make([]byte, size+2)
	if n, err := io.ReadFull(in, arg); err != nil {
		// The Reader reports a missing CR without waiting for the byte after it.
		if n == size+1 && arg[size] != '\r' {
			return nil, errMissingCRLF
		}
		return nil, err
	}
	if string(arg[size:]) != "\r\n" {
		return nil, errMissingCRLF
	}
	return arg[:size], nil
}

func modelReadHeader(in *bufio.Reader, kind byte) (int, error) {
	var header []byte
	for len(header) < maxHeaderBytes {
		b, err := in.ReadByte()
		if err != nil {
			return 0, err
		}
		if header = append(header, b); b != '\n' {
			continue
		}
		if len(header) < 2 || header[len(header)-2] != '\r' || header[0] != kind {
			break
		}
		value, err := strconv.Atoi(string(header[1 : len(header)-2]))
		if err != nil {
			break
		}
		return value, nil
	}
	return 0, fmt.Errorf("expected %q and a number", kind)
}
