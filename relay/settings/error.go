package settings

import "fmt"

// Error reports a settings file that is refused, with the position of the fault and the remedy.
type Error struct {
	// File is the name given to Load or Parse. Line and Column count from 1; they are 0 if the file was not read.
	File         string
	Line, Column int
	// Field is the setting's path, such as times.renew; it is empty for a fault of the file as a whole.
	Field string
	// Problem describes the fault, Remedy the correction.
	Problem string
	Remedy  string
	// Cause is the error of the file system or of the JSON parser; nil if there is none.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
	}
	if e.Field != "" {
		location += ": " + e.Field
	}
	return fmt.Sprintf("%s: %s; %s", location, e.Problem, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
