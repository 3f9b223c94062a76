// Package texttable formats rows of text as a table with aligned columns.
package texttable

import (
	"bytes"
	"fmt"
	"text/tabwriter"
)

// padding is the number of spaces between columns.
const padding = 2

// Table collects rows of cells and formats them as one text, in which the columns of all rows are
// aligned.
type Table struct {
	text bytes.Buffer
	tabs *tabwriter.Writer
}

// New returns an empty table with left-aligned cells.
func New() *Table { return newTable(0) }

// NewAlignedRight returns an empty table with right-aligned cells.
func NewAlignedRight() *Table { return newTable(tabwriter.AlignRight) }

func newTable(flags uint) *Table {
	t := &Table{}
	t.tabs = tabwriter.NewWriter(&t.text, 0, 0, padding, ' ', flags)
	return t
}

// Rowf adds a formatted row. A tab ends each cell. Text after the last tab is not part of a column
// and is not aligned.
func (t *Table) Rowf(format string, args ...any) {
	// Writes to a bytes.Buffer cannot fail.
	_, _ = fmt.Fprintf(t.tabs, format+"\n", args...)
}

// String returns the table as text.
func (t *Table) String() string {
	_ = t.tabs.Flush() // writes to a bytes.Buffer, which cannot fail
	return t.text.String()
}
