package texttable

import "testing"

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
				t.Errorf("got\n%swant\n%s", got, c.want)
			}
		})
	}
}
