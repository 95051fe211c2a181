package journal

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// Corrupt is the error for a damaged data folder, which may have lost acknowledged entries.
type Corrupt struct {
	File string
	// Offset is the position of the damage in bytes.
	Offset uint64
	Reason string
}

// Error implements error.
func (e *Corrupt) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): remove the data folder and restart the VM, which is then readmitted "+
		"under a new incarnation", e.File, e.Offset, e.Reason)
}

// FolderRefused is the error for a data folder that does not match the settings or cannot be used with them.
type FolderRefused struct {
	Reason, Remedy string
}

// Error implements error.
func (e *FolderRefused) Error() string { return e.Reason + ": " + e.Remedy }

// Open reads a data folder; a folder without state gets a new incarnation, which is durable when Open returns. A torn last
// record is truncated. The error is a *Corrupt for other damage and a *FolderRefused for a folder of another VM or group.
func Open(disk Disk, opts ...Option) (*Journal, Stored, error) {
	j := &Journal{settings: settings{segmentSize: 8 << 20}, disk: disk}
	for _, opt := range opts {
		opt(&j.settings)
	}
	stored, err := j.open()
	if err != nil {
		return nil, Stored{}, oops.In("journal").Wrap(err)
	}
	j.hardState = stored.State.HardState
	return j, stored, nil
}

func (j *Journal) open() (Stored, error) {
	files, err := j.disk.List()
	if err != nil {
		return Stored{}, err
	}
	for _, name := range files {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := j.disk.Remove(name); err != nil {
				return Stored{}, err
			}
		} else if number, ok := segmentNumber(name); ok {
			j.segments = append(j.segments, number)
		}
	}
	slices.Sort(j.segments)
	stored, err := j.identity(files)
	if err != nil || stored.Fresh {
		return stored, err
	}
	first := uint64(1)
	if slices.Contains(files, snapshotFile) {
		if stored.State, first, err = j.readSnapshot(); err != nil {
			return Stored{}, err
		}
	} else if stored.Identity.Incarnation == 1 {
		return Stored{}, &Corrupt{File: snapshotFile, Reason: "a founding voter's data folder must contain it"}
	}
	if err := j.readSegments(first, &stored.State); err != nil {
		return Stored{}, err
	}
	// The state read above may include files that a killed process created or renamed without syncing the folder: their
	// names must be durable before the state is relied on. readSegment syncs the content of the segments.
	return stored, j.disk.SyncFolder()
}

// identity reads the identity file, or writes one with a new incarnation to an empty folder.
func (j *Journal) identity(files []string) (Stored, error) {
	if slices.Contains(files, identityFile) {
		return j.readIdentity()
	}
	if len(j.segments) == 0 && slices.Contains(files, snapshotFile) {
		// Bootstrap was interrupted before the identity was durable, so the VM has not voted or acknowledged anything.
		if err := j.disk.Remove(snapshotFile); err != nil {
			return Stored{}, err
		}
	} else if len(j.segments) > 0 {
		return Stored{}, &Corrupt{File: identityFile, Reason: "the file is missing although log segments exist"}
	}
	if j.random == nil || j.name == "" || j.cluster == "" {
		return Stored{}, &FolderRefused{Reason: "the data folder is empty", Remedy: "found the group, or set the VM name, the group name and a random source"}
	}
	id := quorum.Identity{Name: j.name}
	// 0 means any incarnation and 1 is the incarnation of the founding voters.
	for id.Incarnation <= 1 {
		id.Incarnation = j.random()
	}
	err := replace(j.disk, identityFile, frame(wire.EncodeIdentityFile(j.cluster, id), 0, 0))
	return Stored{Cluster: j.cluster, Identity: id, Fresh: true}, err
}

func (j *Journal) readIdentity() (Stored, error) {
	data, err := j.disk.Read(identityFile)
	if err != nil {
		return Stored{}, err
	}
	records, end, _ := intactRecords(data, 0)
	if len(records) != 1 || end != uint64(len(data)) {
		return Stored{}, &Corrupt{File: identityFile, Offset: end, Reason: "bad checksum"}
	}
	cluster, id, err := wire.DecodeIdentityFile(records[0])
	switch {
	case err != nil:
		return Stored{}, &Corrupt{File: identityFile, Reason: err.Error()}
	case j.name != "" && j.name != id.Name:
		return Stored{}, &FolderRefused{Reason: fmt.Sprintf("the data folder belongs to VM %q, not %q", id.Name, j.name), Remedy: "correct the settings"}
	case j.cluster != "" && j.cluster != cluster:
		return Stored{}, &FolderRefused{Reason: fmt.Sprintf("the data folder belongs to group %q, not %q", cluster, j.cluster), Remedy: "correct the settings"}
	}
	return Stored{Cluster: cluster, Identity: id}, nil
}

func (j *Journal) readSnapshot() (quorum.State, uint64, error) {
	data, err := j.disk.Read(snapshotFile)
	if err != nil {
		return quorum.State{}, 0, err
	}
	header, ok := unframe(data, 0, 0)
	if !ok {
		return quorum.State{}, 0, &Corrupt{File: snapshotFile, Reason: "bad checksum"}
	}
	offset := uint64(frameSize + len(header))
	body, ok := unframe(data, 0, offset)
	if !ok {
		return quorum.State{}, 0, &Corrupt{File: snapshotFile, Offset: offset, Reason: "bad checksum"}
	}
	state, first, err := wire.DecodeSnapshot(header)
	if err == nil {
		err = checkContinuity(state, state.Entries)
	}
	if err != nil {
		return quorum.State{}, 0, &Corrupt{File: snapshotFile, Reason: err.Error()}
	}
	state.Snapshot.Data = body
	return state, first, nil
}

// readSegments replays the segments from first on and removes older ones, which a crash may have left.
func (j *Journal) readSegments(first uint64, state *quorum.State) error {
	for len(j.segments) > 0 && j.segments[0] < first {
		if err := j.disk.Remove(segmentName(j.segments[0])); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	// The snapshot that Bootstrap writes names the first segment before the first save creates it.
	j.lastSegment = first - 1
	if len(j.segments) == 0 && first > 1 {
		return &Corrupt{File: segmentName(first), Reason: "the file is missing"}
	}
	for i, number := range j.segments {
		if number != first+uint64(i) {
			return &Corrupt{File: segmentName(first + uint64(i)), Reason: "the file is missing"}
		}
		if err := j.readSegment(number, i == len(j.segments)-1, state); err != nil {
			return err
		}
	}
	return nil
}

func (j *Journal) readSegment(number uint64, isLast bool, state *quorum.State) error {
	name := segmentName(number)
	data, err := j.disk.Read(name)
	if err != nil {
		return err
	}
	records, end, damaged := intactRecords(data, number)
	if damaged || !isLast && end < uint64(len(data)) {
		return &Corrupt{File: name, Offset: end, Reason: "bad checksum"}
	}
	for _, record := range records {
		hard, entries, err := wire.DecodeRecord(record)
		if err == nil {
			err = checkContinuity(*state, entries)
		}
		if err != nil {
			return &Corrupt{File: name, Reason: err.Error()}
		}
		if hard != nil {
			state.HardState = *hard
		}
		if len(entries) > 0 {
			retained := entries[0].Index - state.Snapshot.Index - 1
			state.Entries = append(state.Entries[:retained:retained], entries...)
		}
	}
	j.lastSegment, j.lastSegmentSize = number, end
	if end < uint64(len(data)) {
		if err := j.disk.Truncate(name, end); err != nil {
			return err
		}
	}
	return j.disk.Sync(name)
}

// checkContinuity returns an error unless the entries begin within the log or directly after it.
func checkContinuity(state quorum.State, entries []quorum.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first, base := entries[0].Index, state.Snapshot.Index
	if first <= base || first > base+uint64(len(state.Entries))+1 {
		return fmt.Errorf("entry %d does not follow the log %d..%d", first, base, base+uint64(len(state.Entries)))
	}
	return nil
}
