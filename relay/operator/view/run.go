package view

import (
	"slices"
	"strings"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
)

// Result is the result of a query; each row has one JSON-encodable value per column.
type Result struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

// Run evaluates a query for an operator of the organisation; errors are *statement.Error, such as for an unknown column.
func (t Tables) Run(q *statement.Query, organisation string) (Result, error) {
	selected, err := selectColumns(q)
	if err != nil {
		return Result{}, err
	}
	rows, err := t.rows(q, organisation)
	if err != nil {
		return Result{}, &statement.Error{Position: q.Arguments[0].Position, Problem: err.Error(), Expected: "an assistant and an account of the configuration"}
	}
	rows = slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return !matches(q.Where, row) })
	slices.SortStableFunc(rows, func(a, b Row) int {
		for _, s := range q.Order {
			if order := compare(a[s.Column.Text], b[s.Column.Text]); order != 0 && s.Descending {
				return -order
			} else if order != 0 {
				return order
			}
		}
		return 0
	})
	if q.Limit > 0 && len(rows) > q.Limit {
		rows = rows[:q.Limit]
	}
	result := Result{Columns: selected, Rows: make([][]any, 0, len(rows))}
	for _, row := range rows {
		values := make([]any, 0, len(selected))
		for _, column := range selected {
			values = append(values, jsonValue(row[column]))
		}
		result.Rows = append(result.Rows, values)
	}
	return result, nil
}

// selectColumns returns the selected columns, or an error for the first column that the table does not have.
func selectColumns(q *statement.Query) ([]string, error) {
	all := columns[q.Table.Text]
	words := slices.Clone(q.Columns)
	for _, c := range q.Where {
		words = append(words, c.Column)
	}
	for _, s := range q.Order {
		words = append(words, s.Column)
	}
	for _, w := range words {
		if !slices.Contains(all, w.Text) {
			return nil, &statement.Error{Position: w.Position, Field: w.Text, Problem: q.Table.Text + " has no column " + w.Text, Expected: "one of " + strings.Join(all, ", ")}
		}
	}
	if len(q.Columns) == 0 {
		return all, nil
	}
	selected := make([]string, 0, len(q.Columns))
	for _, w := range q.Columns {
		selected = append(selected, w.Text)
	}
	return selected, nil
}
