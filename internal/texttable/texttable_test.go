package texttable

import "testing"

// TestAlignment checks that a cell is padded to the width of its column and that the text after the
// last tab is not.
func TestAlignment(t *testing.T) {
	for _, c := range []struct {
		name  string
		table *Table
		want  string
	}{
		{"left", New(), "a     12  rest\nlong  1   more\n"},
		{"right", NewAlignedRight(), "     a  12rest\n  long   1more\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.table.Rowf("%s\t%d\trest", "a", 12)
			c.table.Rowf("%s\t%d\tmore", "long", 1)
			if got := c.table.String(); got != c.want {
				t.Errorf("String() =\n%swant\n%s", got, c.want)
			}
		})
	}
}
