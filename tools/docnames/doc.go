// Command docnames checks that the pages name only identifiers and files that exist. It reads the words in backticks,
// outside fenced code blocks, of README.md, CONTRIBUTING.md and docs/**/*.md below the root given as argument. It prints each
// missing name with its page and line, and exits with status 1 if there are any and 2 on an error.
package main
