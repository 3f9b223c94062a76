package console

import (
	"strconv"
	"sync/atomic"
)

// Prefix of every figure's name.
const Prefix = "edge_router."

// Ends are how many messages of a class ended in each way.
type Ends struct{ Answered, Deferred, Errored int64 }

// Board shows figures that are counted elsewhere: the loop writes them as it
// counts, callers read them without it. Each is right by itself; two read
// together may be a moment apart.
type Board struct {
	classes []string
	ends    [][3]atomic.Int64
	Sends   atomic.Int64 // messages written whole to endpoints
	Current atomic.Int64 // messages taken and not ended
	Listed  atomic.Int64 // endpoints that the list holds
	Avoided atomic.Int64 // of them, those that get nothing new now
	late    []atomic.Int64
}

// NewBoard makes the board for the classes, in the settings' order.
func NewBoard(classes []string) *Board {
	return &Board{classes: classes, ends: make([][3]atomic.Int64, len(classes)), late: make([]atomic.Int64, len(classes))}
}

// Show puts up how messages of a class have ended so far.
func (b *Board) Show(class int, e Ends) {
	b.ends[class][0].Store(e.Answered)
	b.ends[class][1].Store(e.Deferred)
	b.ends[class][2].Store(e.Errored)
}

// Late counts a message that was refused before the loop saw it.
func (b *Board) Late(class int) { b.late[class].Add(1) }

// Append writes all figures, a line each, in the form of statsd: counters of
// this process since its start (c) and gauges (g).
func (b *Board) Append(to []byte) []byte {
	line := func(name, class string, v int64, kind string) {
		to = append(append(to, Prefix...), name...)
		if class != "" {
			to = append(append(to, '.'), class...)
		}
		to = append(strconv.AppendInt(append(to, ':'), v, 10), kind...)
	}
	for i, c := range b.classes {
		e := &b.ends[i]
		line("answered", c, e[0].Load(), "|c\n")
		line("deferred", c, e[1].Load()+b.late[i].Load(), "|c\n")
		line("errored", c, e[2].Load(), "|c\n")
	}
	line("sends", "", b.Sends.Load(), "|c\n")
	line("current", "", b.Current.Load(), "|g\n")
	line("cluster_size", "", b.Listed.Load(), "|g\n")
	line("cluster_unhealthy", "", b.Avoided.Load(), "|g\n")
	return to
}
