// Package journaltest has a disk that fails, for tests of what stores a log.
package journaltest
