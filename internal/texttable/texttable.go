// Package texttable lays out text in columns.
package texttable

import (
	"bytes"
	"fmt"
	"text/tabwriter"
)

// padding is the number of blanks between columns.
const padding = 2

// Table collects rows of cells. It is written out as one text, whose columns are
// aligned over all rows.
type Table struct {
	text bytes.Buffer
	tabs *tabwriter.Writer
}

// New returns an empty table, whose cells are aligned to the left.
func New() *Table { return newTable(0) }

// NewAlignedRight returns an empty table, whose cells are aligned to the right.
func NewAlignedRight() *Table { return newTable(tabwriter.AlignRight) }

func newTable(flags uint) *Table {
	t := &Table{}
	t.tabs = tabwriter.NewWriter(&t.text, 0, 0, padding, ' ', flags)
	return t
}

// Rowf adds a formatted row. A tab ends each cell; what follows the last tab is no part
// of a column.
func (t *Table) Rowf(format string, args ...any) {
	// The text is kept in memory: a write to it does not fail.
	_, _ = fmt.Fprintf(t.tabs, format+"\n", args...)
}

// String returns the table as text.
func (t *Table) String() string {
	_ = t.tabs.Flush() // into memory
	return t.text.String()
}
