// Command docnames checks that the pages name only identifiers and files that exist. It reads the words in backticks of
// README.md, CONTRIBUTING.md and docs/**/*.md below the folder given as argument, prints each missing name with its page and
// line, and exits with status 1 if there are any.
package main
