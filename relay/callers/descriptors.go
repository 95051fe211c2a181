package callers

import (
	"syscall"

	"github.com/apex/log"
)

// OwnLimit stands, as a number of descriptors, for the process's limit of open files.
const OwnLimit = -1

// A process's limit of open files counts as minOwnLimit at least, since 0 means no limit, and as maxOwnLimit at most, since it may be
// infinite.
const (
	minOwnLimit = 2
	maxOwnLimit = 1 << 24
)

// WithOpenFilesFunc sets the function that reads the process's limit of open files.
func WithOpenFilesFunc(openFiles func() (uint64, error)) Option {
	return func(g *Guard) { g.openFiles = openFiles }
}

// openFiles returns the process's soft limit of open files. The Go runtime has raised it to the hard one.
func openFiles() (uint64, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return limit.Cur, nil
}

// ownDescriptors returns the number of descriptors that the process's limit of open files leaves it, 0 if it can't be read.
func (g *Guard) ownDescriptors() int {
	limit, err := g.openFiles()
	if err != nil {
		g.log.WithField("cause", err.Error()).Warn("limit of open files unknown: connections of callers are not bounded")
		return 0
	}
	descriptors := int(min(max(limit, minOwnLimit), maxOwnLimit))
	g.log.WithFields(log.Fields{"descriptors": descriptors, "connections": MaxConnections(descriptors)}).Info("connections of callers bounded by the limit of open files")
	return descriptors
}
