// Command benchlink hosts the policy engines of simulated relays, one engine for each relay. It reads
// frames of events from standard input, passes the events to the engines, and writes the engines'
// actions to standard output. It takes no delivery decision itself.
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

// serve replies to each frame of the input. It returns nil when the input ends between two frames.
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
