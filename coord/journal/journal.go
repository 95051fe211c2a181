package journal

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

const (
	identityFile  = "identity"
	snapshotFile  = "snapshot"
	segmentPrefix = "log-"
	temporary     = ".tmp"
)

// Stored is what a data folder holds.
type Stored struct {
	Cluster  string
	Identity quorum.Identity
	// Fresh reports that the folder was empty and got a new incarnation.
	Fresh bool
	State quorum.State
}

type settings struct {
	cluster string
	name    string
	random  func() uint64
	segment uint64
}

// Option sets one property of a Journal.
type Option func(*settings)

// WithCluster names the group; a folder of another group is refused, and a fresh folder gets this name.
func WithCluster(name string) Option { return func(s *settings) { s.cluster = name } }

// WithName names the VM; a folder of another VM is refused, and a fresh folder gets this name.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithRandom sets the source of the incarnation that a fresh folder gets; it should be a cryptographic one.
func WithRandom(random func() uint64) Option { return func(s *settings) { s.random = random } }

// WithSegmentSize sets the size in bytes after which a new log segment begins.
func WithSegmentSize(size uint64) Option { return func(s *settings) { s.segment = size } }

// Journal writes to one data folder; it is used by one goroutine.
type Journal struct {
	settings
	disk   Disk
	hard   quorum.Hard
	number uint64
	size   uint64
	// segments are the numbers of the log files that exist, in order.
	segments []uint64
	broken   error
}

// Save makes s durable. After an error the files' state is unknown: every later Save fails, and
// the host has to stop the core and open the folder again.
func (j *Journal) Save(s quorum.Save) error {
	if j.broken != nil {
		return j.broken
	}
	if s.Empty() {
		return nil
	}
	err := j.save(s)
	if err != nil {
		j.broken = oops.In("journal").Hint("check the disk and restart the VM").Wrapf(err, "save")
	}
	return j.broken
}

func (j *Journal) save(s quorum.Save) error {
	if s.Hard != nil {
		j.hard = *s.Hard
	}
	if s.Snapshot != nil {
		return j.saveSnapshot(quorum.State{Hard: j.hard, Snapshot: *s.Snapshot, Entries: s.Entries})
	}
	if j.number == 0 || j.size >= j.segment {
		if err := j.rotate(); err != nil {
			return err
		}
		if err := j.disk.SyncFolder(); err != nil {
			return err
		}
	}
	data := frame(wire.EncodeRecord(s.Hard, s.Entries), j.number, j.size)
	if err := j.disk.Append(segmentName(j.number), data); err != nil {
		return err
	}
	j.size += uint64(len(data))
	return j.disk.Sync(segmentName(j.number))
}

// rotate begins a new log segment; its name is durable after the next SyncFolder.
func (j *Journal) rotate() error {
	number := j.number + 1
	if err := j.disk.Write(segmentName(number), nil); err != nil {
		return err
	}
	if err := j.disk.Sync(segmentName(number)); err != nil {
		return err
	}
	j.number, j.size = number, 0
	j.segments = append(j.segments, number)
	return nil
}

// saveSnapshot replaces the snapshot and the log in one rename: the snapshot file holds the rest of
// the log and names the first segment that counts. A crash before the rename leaves an empty segment behind the old ones.
func (j *Journal) saveSnapshot(state quorum.State) error {
	if err := j.rotate(); err != nil {
		return err
	}
	if err := writeSnapshot(j.disk, state, j.number); err != nil {
		return err
	}
	for _, number := range j.segments[:len(j.segments)-1] {
		if err := j.disk.Remove(segmentName(number)); err != nil {
			return err
		}
	}
	j.segments = []uint64{j.number}
	return nil
}

func writeSnapshot(disk Disk, state quorum.State, segment uint64) error {
	header := frame(wire.EncodeSnapshot(state, segment), 0, 0)
	return replace(disk, snapshotFile, append(header, frame(state.Snapshot.Data, 0, uint64(len(header)))...))
}

// replace writes a file under a temporary name and renames it, so that a crash leaves the old or the new file.
func replace(disk Disk, name string, data []byte) error {
	if err := disk.Write(name+temporary, data); err != nil {
		return err
	}
	if err := disk.Sync(name + temporary); err != nil {
		return err
	}
	if err := disk.SyncFolder(); err != nil {
		return err
	}
	if err := disk.Rename(name+temporary, name); err != nil {
		return err
	}
	return disk.SyncFolder()
}

// Found writes the state of a founding voter: incarnation 1 and a membership of all names.
// A folder that belongs to a group already is refused.
func Found(disk Disk, cluster, self string, names []string) error {
	files, err := disk.List()
	if err != nil {
		return oops.In("journal").Wrapf(err, "list the data folder")
	}
	if slices.Contains(files, identityFile) {
		return &Refused{Reason: "the data folder belongs to a group already", Remedy: "found with an empty data folder"}
	}
	if !slices.Contains(names, self) {
		return &Refused{Reason: fmt.Sprintf("%q is none of the founding voters %v", self, names), Remedy: "add it or run this on a voter"}
	}
	// The identity comes last: a founding that was interrupted can be repeated.
	if err := writeSnapshot(disk, quorum.FoundingState(names), 1); err != nil {
		return oops.In("journal").Wrapf(err, "write the founding state")
	}
	id := quorum.Identity{Name: self, Incarnation: 1}
	return oops.In("journal").Wrapf(replace(disk, identityFile, frame(wire.EncodeFolder(cluster, id), 0, 0)), "write the identity")
}

// Founded reports whether a data folder has an identity.
func Founded(disk Disk) (bool, error) {
	files, err := disk.List()
	return slices.Contains(files, identityFile), err
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func segmentNumber(name string) (uint64, bool) {
	var number uint64
	text, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%016x", &number)
	return number, err == nil && segmentName(number) == name
}
