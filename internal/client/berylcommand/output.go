package berylcommand

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/beryllatch/beryllatch"
)

// printJSON writes a value as indented JSON.
func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table is a listing in both output formats: each entry has a row of cells for the table and a value for JSON.
type table struct {
	header []string
	rows   [][]string
	values []any
}

// add appends an entry: its JSON value and the cells of its row.
func (t *table) add(value any, cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, cellText(c))
	}
	t.rows = append(t.rows, row)
	t.values = append(t.values, value)
}

// cellText returns the text of a table cell: "-" for an empty string, and yes or no for a bool.
func cellText(c any) string {
	switch c := c.(type) {
	case string:
		if c == "" {
			return "-"
		}
		return c
	case bool:
		if c {
			return "yes"
		}
		return "no"
	}
	return fmt.Sprint(c)
}

// printTable writes a listing in the chosen output format.
func (s *session) printTable(t table) error {
	if s.settings.Output == "json" {
		if t.values == nil {
			t.values = []any{}
		}
		return s.printJSON(t.values)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, r := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// printFields writes one value in the chosen output format; as a table it has a line for each JSON field.
func (s *session) printFields(v any) error {
	if s.settings.Output == "json" {
		return s.printJSON(v)
	}
	doc, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := json.Unmarshal(doc, &fields); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", k, cellText(fields[k]))
	}
	return w.Flush()
}

// find returns the entry with the name. If there is none, the error says the kind of entry and the name.
func find[V any](kind, name string, m map[string]V) (V, error) {
	v, ok := m[name]
	if !ok {
		return v, &refusedError{reason: fmt.Sprintf("no %s has the name %q", kind, name)}
	}
	return v, nil
}

// showEntry prints the named entry of one part of the configuration.
func showEntry[V any](s *session, kind, name string, entries func(beryllatch.Config) map[string]V) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	v, err := find(kind, name, entries(c))
	if err != nil {
		return err
	}
	return s.printFields(v)
}

// listEntries prints a line for each entry of one part of the configuration.
func listEntries[V any](
	s *session, header []string, entries func(beryllatch.Config) map[string]V, cells func(V) []any,
) error {
	c, err := s.config()
	if err != nil {
		return err
	}
	out, all := table{header: header}, entries(c)
	for _, k := range beryllatch.SortedKeys(all) {
		out.add(all[k], cells(all[k])...)
	}
	return s.printTable(out)
}
