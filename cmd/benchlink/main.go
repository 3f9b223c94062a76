// Command benchlink hosts one policy engine for each relay, and carries frames between them and standard input and
// output. It decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("benchlink: ")
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := serve(in, out); err != nil {
		log.Fatal(err)
	}
}

// serve answers frames until the input ends; a clean end gives nil.
func serve(in io.Reader, out *bufio.Writer) error {
	hosted := newHost()
	for n := 0; ; n++ {
		reply, err := hosted.handleFrame(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
