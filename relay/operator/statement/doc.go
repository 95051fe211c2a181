// Package statement parses the control language of operators and translates changes into edits of configuration objects.
package statement
