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
	identityFile    = "identity"
	snapshotFile    = "snapshot"
	segmentPrefix   = "log-"
	temporarySuffix = ".tmp"
)

// Stored is the content of a data folder.
type Stored struct {
	Cluster  string
	Identity quorum.Identity
	// Fresh means that the folder was empty and that a new incarnation was written.
	Fresh bool
	State quorum.State
}

type settings struct {
	cluster     string
	name        string
	random      func() uint64
	segmentSize uint64
}

// Option changes a setting of a Journal.
type Option func(*settings)

// WithCluster sets the name of the group; a folder of another group is refused, and an empty one is given this name.
func WithCluster(name string) Option { return func(s *settings) { s.cluster = name } }

// WithName sets the name of the VM; a folder of another VM is refused, and an empty one is given this name.
func WithName(name string) Option { return func(s *settings) { s.name = name } }

// WithRandom sets the random source of the incarnation for an empty folder; it should be cryptographically secure.
func WithRandom(random func() uint64) Option { return func(s *settings) { s.random = random } }

// WithSegmentSize sets the size in bytes after which a new log segment is started; the default is 8 MiB.
func WithSegmentSize(size uint64) Option { return func(s *settings) { s.segmentSize = size } }

// Journal writes to one data folder; it is not safe for concurrent use.
type Journal struct {
	settings
	disk      Disk
	hardState quorum.HardState
	// lastSegment is the number of the last log segment; 0 if there is none.
	lastSegment uint64
	// lastSegmentSize is in bytes.
	lastSegmentSize uint64
	// segments are the numbers of the existing log segments, in ascending order.
	segments []uint64
	// saveErr is the error of the first failed save.
	saveErr error
}

// Save makes s durable. After an error the state of the files is unknown: every later Save returns the same error, and the
// caller must stop the core and open the folder again.
func (j *Journal) Save(s quorum.Save) error {
	if j.saveErr != nil {
		return j.saveErr
	}
	if s.Empty() {
		return nil
	}
	err := j.save(s)
	if err != nil {
		j.saveErr = oops.In("journal").Hint("check the disk and restart the VM").Wrapf(err, "save")
	}
	return j.saveErr
}

func (j *Journal) save(s quorum.Save) error {
	if s.HardState != nil {
		j.hardState = *s.HardState
	}
	if s.Snapshot != nil {
		return j.saveSnapshot(quorum.State{HardState: j.hardState, Snapshot: *s.Snapshot, Entries: s.Entries})
	}
	if j.lastSegment == 0 || j.lastSegmentSize >= j.segmentSize {
		if err := j.rotate(); err != nil {
			return err
		}
		if err := j.disk.SyncFolder(); err != nil {
			return err
		}
	}
	data := frame(wire.EncodeRecord(s.HardState, s.Entries), j.lastSegment, j.lastSegmentSize)
	if err := j.disk.Append(segmentName(j.lastSegment), data); err != nil {
		return err
	}
	j.lastSegmentSize += uint64(len(data))
	return j.disk.Sync(segmentName(j.lastSegment))
}

// rotate starts a new log segment; its name is durable after the next SyncFolder.
func (j *Journal) rotate() error {
	number := j.lastSegment + 1
	if err := j.disk.Write(segmentName(number), nil); err != nil {
		return err
	}
	if err := j.disk.Sync(segmentName(number)); err != nil {
		return err
	}
	j.lastSegment, j.lastSegmentSize = number, 0
	j.segments = append(j.segments, number)
	return nil
}

// saveSnapshot replaces the snapshot and the log by a single rename: the snapshot file contains the remaining log entries
// and the number of the first segment to replay. A crash before the rename leaves an empty segment after the old ones.
func (j *Journal) saveSnapshot(state quorum.State) error {
	if err := j.rotate(); err != nil {
		return err
	}
	if err := writeSnapshot(j.disk, state, j.lastSegment); err != nil {
		return err
	}
	for _, number := range j.segments[:len(j.segments)-1] {
		if err := j.disk.Remove(segmentName(number)); err != nil {
			return err
		}
	}
	j.segments = []uint64{j.lastSegment}
	return nil
}

func writeSnapshot(disk Disk, state quorum.State, segment uint64) error {
	header := frame(wire.EncodeSnapshot(state, segment), 0, 0)
	return replace(disk, snapshotFile, append(header, frame(state.Snapshot.Data, 0, uint64(len(header)))...))
}

// replace writes a file under a temporary name and renames it, so that a crash leaves either the old or the new file.
func replace(disk Disk, name string, data []byte) error {
	if err := disk.Write(name+temporarySuffix, data); err != nil {
		return err
	}
	if err := disk.Sync(name + temporarySuffix); err != nil {
		return err
	}
	if err := disk.SyncFolder(); err != nil {
		return err
	}
	if err := disk.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return disk.SyncFolder()
}

// Bootstrap writes the initial state of a founding voter: incarnation 1 and a membership of all names. A folder that already
// belongs to a group is refused.
func Bootstrap(disk Disk, cluster, self string, names []string) error {
	files, err := disk.List()
	if err != nil {
		return oops.In("journal").Wrapf(err, "list the data folder")
	}
	if slices.Contains(files, identityFile) {
		return &FolderRefused{Reason: "the data folder already belongs to a group", Remedy: "found the group with an empty data folder"}
	}
	if !slices.Contains(names, self) {
		return &FolderRefused{Reason: fmt.Sprintf("%q is not one of the founding voters %v", self, names), Remedy: "add it to the voters or run the command on a founding voter"}
	}
	// The identity is written last, so that an interrupted call can be repeated.
	if err := writeSnapshot(disk, quorum.FoundingState(names), 1); err != nil {
		return oops.In("journal").Wrapf(err, "write the founding state")
	}
	id := quorum.Identity{Name: self, Incarnation: 1}
	return oops.In("journal").Wrapf(replace(disk, identityFile, frame(wire.EncodeIdentityFile(cluster, id), 0, 0)), "write the identity")
}

// Bootstrapped reports whether a data folder has an identity.
func Bootstrapped(disk Disk) (bool, error) {
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
