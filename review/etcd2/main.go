//go:build review

// Command etcd2 runs the project's etcd stand-in with one member for a case of the second review. It prints the
// member's address and then executes the lines of its input until the input ends:
//
//	put KEY VALUE   delete KEY   silence   speak   stop   start
//
// After each line it prints "done" and the revision.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"troutusher/internal/emulator/etcd"
)

func main() {
	cluster, err := etcd.NewCluster(1)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer cluster.Close()
	fmt.Println(cluster.Addresses()[0])
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		words := strings.SplitN(lines.Text(), " ", 3)
		revision, err := execute(cluster, words)
		if err != nil {
			fmt.Println("failed", err)
			continue
		}
		fmt.Println("done", revision)
	}
}

func execute(cluster *etcd.Cluster, words []string) (revision int64, err error) {
	switch {
	case words[0] == "put" && len(words) == 3:
		return cluster.Apply(etcd.Op{Key: words[1], Value: words[2]})
	case words[0] == "delete" && len(words) == 2:
		return cluster.Apply(etcd.Op{Key: words[1], Delete: true})
	case words[0] == "silence":
		cluster.SetSilent(0, true)
	case words[0] == "speak":
		cluster.SetSilent(0, false)
	case words[0] == "stop":
		cluster.StopMember(0)
	case words[0] == "start":
		return 0, cluster.StartMember(0)
	default:
		return 0, fmt.Errorf("unknown line %q", words)
	}
	return 0, nil
}
