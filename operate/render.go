package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// execute sends a statement and prints the response; flag is the command ID from the command line, or empty.
func (p *program) execute(ctx context.Context, statement, flag string) error {
	id := ""
	if !isQuery(statement) {
		var err error
		if id, err = commandID(statement, flag); err != nil {
			return err
		}
		// The ID is printed before the statement is sent, so that the change can be sent again if the program is interrupted.
		_, _ = fmt.Fprintln(p.err, "command", id)
	}
	result, err := p.sendStatement(ctx, statement, id)
	if p.json && len(result.raw) > 0 {
		if _, err := p.out.Write(result.raw); err != nil {
			return exitErrorf(exitUnknown, "cannot write the response to standard output: %w; send the statement again, a change with its command ID", err)
		}
	}
	if err != nil {
		return err
	}
	if result.Outcome == "" {
		return p.printTable(result)
	}
	return p.printOutcome(result)
}

func (p *program) printTable(result statementResponse) error {
	if p.json {
		return nil
	}
	w := table.NewWriter()
	w.SetStyle(table.StyleLight)
	w.Style().Format.Header = text.FormatDefault // The default changes the case of column names.
	w.AppendHeader(tableRow(result.Columns))
	for _, values := range result.Rows {
		w.AppendRow(tableRow(values))
	}
	_, err := fmt.Fprintln(p.out, w.Render())
	return err
}

func tableRow[T any](values []T) table.Row {
	r := make(table.Row, 0, len(values))
	for _, v := range values {
		cell := ""
		if any(v) != nil {
			cell = fmt.Sprint(v)
		}
		// Values such as statements in the audit trail can contain line breaks and terminal escape sequences.
		if strings.ContainsFunc(cell, unicode.IsControl) {
			cell = strconv.Quote(cell)
		}
		r = append(r, cell)
	}
	return r
}

func (p *program) printOutcome(result statementResponse) error {
	if !p.json {
		if _, err := fmt.Fprintf(p.out, "%s version=%d expected=%d command=%s\n", result.Outcome, result.Version, result.Expected, result.Command); err != nil {
			return exitErrorf(exitUnknown, "cannot write the outcome to standard output: %w; send the same statement again with its command ID", err)
		}
	}
	switch {
	case result.Outcome == "accepted":
		return nil
	case result.Winner != nil:
		return exitErrorf(exitRefused, "refused: operator %s was first with command %s, version %d; check what that command changed, then send yours with a new command ID", result.Winner.Actor, result.Winner.Command, result.Winner.Version)
	case result.Outcome == "refused":
		return exitErrorf(exitRefused, "refused: %s", result.Message)
	case result.Outcome == "pending":
		return exitErrorf(exitUnknown, "pending: the change is not yet in force on all VMs; send the same statement again with --command %s to learn its outcome", result.Command)
	default:
		return exitErrorf(exitUnknown, "unknown: %s; send the same statement again with --command %s to learn its outcome", result.Message, result.Command)
	}
}
