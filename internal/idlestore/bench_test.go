package idlestore

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
)

// The benchmarks measure the memory per entry and the time per lookup of an index with a
// million entries. docs/measurements/idle.md has the results.
//
//	go test -run '^$' -bench Structures -benchtime 1000000x ./internal/idlestore

// index maps hashes to positions. The benchmark compares its implementations: the table of this package,
// a map, and sorted blocks.
type index interface {
	add(hash uint64, at position)
	has(hash uint64, at position) bool
}

// tableIndex is the table of this package.
type tableIndex struct{ table }

func (t *tableIndex) has(hash uint64, at position) bool {
	_, ok := t.find(hash, at)
	return ok
}

// mapIndex is a plain map.
type mapIndex map[uint64]position

func (m mapIndex) add(hash uint64, at position)      { m[hash] = at }
func (m mapIndex) has(hash uint64, at position) bool { return m[hash] == at }

// blockIndex holds sorted slots in sorted blocks. A block that becomes full is split in
// two.
type blockIndex struct{ blocks [][]uint64 }

const maxBlockSlots = 512

// slotKey combines the upper half of a hash with a position.
func slotKey(hash uint64, at position) uint64 { return hash>>32<<32 | uint64(at) }

// block returns the index of the block that k belongs to.
func (b *blockIndex) block(k uint64) int {
	i, ok := slices.BinarySearchFunc(b.blocks, k, func(s []uint64, k uint64) int {
		switch {
		case s[0] < k:
			return -1
		case s[0] > k:
			return 1
		}
		return 0
	})
	if !ok {
		i--
	}
	return max(i, 0)
}

func (b *blockIndex) add(hash uint64, at position) {
	k := slotKey(hash, at)
	if len(b.blocks) == 0 {
		b.blocks = [][]uint64{{k}}
		return
	}
	number := b.block(k)
	s := b.blocks[number]
	i, _ := slices.BinarySearch(s, k)
	s = slices.Insert(s, i, k)
	if b.blocks[number] = s; len(s) == maxBlockSlots {
		b.blocks[number] = slices.Clone(s[:maxBlockSlots/2])
		b.blocks = slices.Insert(b.blocks, number+1, slices.Clone(s[maxBlockSlots/2:]))
	}
}

func (b *blockIndex) has(hash uint64, at position) bool {
	_, ok := slices.BinarySearch(b.blocks[b.block(slotKey(hash, at))], slotKey(hash, at))
	return ok
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkStructures(b *testing.B) {
	const n = 1_000_000
	rng := rand.New(rand.NewPCG(1, 2))
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = rng.Uint64()
	}
	for name, newIndex := range map[string]func() index{
		"table": func() index { return &tableIndex{} }, "map": func() index { return mapIndex{} },
		"blocks": func() index { return &blockIndex{} },
	} {
		b.Run(name, func(b *testing.B) {
			before := heapBytes()
			x := newIndex()
			for i, h := range hashes {
				x.add(h, position(i))
			}
			size := heapBytes() - before
			b.ResetTimer()
			for i := range b.N {
				k := i * 7919 % n
				if !x.has(hashes[k], position(k)) {
					b.Fatalf("has(hash %d) = false, want true", k)
				}
			}
			b.ReportMetric(float64(size)/n, "B/entry")
		})
	}
}

// BenchmarkStoreOrMaps compares the store with plain maps that hold the same data.
func BenchmarkStoreOrMaps(b *testing.B) {
	const n = 1_000_000
	endpoint := func(i int) Endpoint {
		return Endpoint{
			ID:       fmt.Sprintf("shop-%07d-0", i),
			HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Locality: "a",
			Flavor:   "k",
			Rate:     40,
		}
	}
	b.Run("store", func(b *testing.B) {
		before := heapBytes()
		s := New()
		for i := range n {
			e := endpoint(i)
			s.PutEndpoint(i, &e)
		}
		size := heapBytes() - before
		b.ResetTimer()
		for i := range b.N {
			if !s.Has(i * 7919 % n) {
				b.Fatalf("Has(%d) = false, want true", i*7919%n)
			}
		}
		b.ReportMetric(float64(size)/n, "B/dest")
	})
	b.Run("maps", func(b *testing.B) {
		type dest struct {
			state     []byte
			endpoints []Endpoint
		}
		before := heapBytes()
		dests, ids := map[int]*dest{}, map[string]int{}
		for i := range n {
			e := endpoint(i)
			dests[i] = &dest{state: nil, endpoints: []Endpoint{e}}
			ids[e.ID] = i
		}
		size := heapBytes() - before
		b.ResetTimer()
		for i := range b.N {
			if dests[i*7919%n] == nil {
				b.Fatalf("no destination %d in the map", i*7919%n)
			}
		}
		b.ReportMetric(float64(size)/n, "B/dest")
		runtime.KeepAlive(ids)
	})
}
