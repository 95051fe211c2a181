package journaltest

import (
	"errors"
	"sync/atomic"
	"syscall"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
)

// Fault is what a FaultyDisk does with writes.
type Fault int32

const (
	// NoFault is a disk that has room.
	NoFault Fault = iota
	// Full refuses every write; a file that is to be written is created or emptied all the same.
	Full
	// ShortWrites stores half of what is written and refuses the rest.
	ShortWrites
	// FailedSyncs stores what is written, and fails to make it durable.
	FailedSyncs
)

// FaultyDisk is a disk for tests that has no room while a fault is set; SetFault and Refused may be called from any goroutine.
type FaultyDisk struct {
	journal.Disk
	fault   atomic.Int32
	refused atomic.Int64
}

// NewFaultyDisk returns a FaultyDisk that stores its files on the given disk.
func NewFaultyDisk(disk journal.Disk) *FaultyDisk {
	f := &FaultyDisk{Disk: disk}
	f.Write = func(name string, data []byte) error { return f.write(name, data, disk.Write) }
	f.Append = func(name string, data []byte) error { return f.write(name, data, disk.Append) }
	f.Sync = func(name string) error { return f.sync(func() error { return disk.Sync(name) }) }
	f.SyncFolder = func() error { return f.sync(disk.SyncFolder) }
	return f
}

// SetFault sets what the disk does with writes from now on.
func (f *FaultyDisk) SetFault(fault Fault) { f.fault.Store(int32(fault)) }

// Refused returns the number of operations that have failed with ENOSPC.
func (f *FaultyDisk) Refused() int { return int(f.refused.Load()) }

func (f *FaultyDisk) write(name string, data []byte, write func(string, []byte) error) error {
	switch Fault(f.fault.Load()) {
	case Full:
		return errors.Join(write(name, nil), f.refuse())
	case ShortWrites:
		return errors.Join(write(name, data[:len(data)/2]), f.refuse())
	default:
		return write(name, data)
	}
}

func (f *FaultyDisk) sync(sync func() error) error {
	if Fault(f.fault.Load()) == FailedSyncs {
		return f.refuse()
	}
	return sync()
}

func (f *FaultyDisk) refuse() error {
	f.refused.Add(1)
	return syscall.ENOSPC
}
