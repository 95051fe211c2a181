package journal_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

var voters = []string{"a", "b", "c"}

const (
	firstSegment = "log-0000000000000001"
	// segmentSize is small enough that the saves of script fill several segments.
	segmentSize = 100
)

func entry(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Kind: quorum.Data, Data: bytes.Repeat([]byte{byte(index)}, 20)}
}

// script returns a sequence of saves as a core makes them: votes, entries, a replaced tail, a snapshot with the remaining log.
func script() []quorum.Save {
	members := quorum.FoundingState(voters).Snapshot.Members
	vote := quorum.Identity{Name: "b", Incarnation: 1}
	return []quorum.Save{
		{HardState: &quorum.HardState{Term: 2, Vote: vote}},
		{Entries: []quorum.Entry{entry(2, 2), entry(3, 2), entry(4, 2)}},
		{HardState: &quorum.HardState{Term: 3}, Entries: []quorum.Entry{entry(3, 3)}},
		{Entries: []quorum.Entry{entry(4, 3)}},
		{Snapshot: &quorum.Snapshot{Index: 3, Term: 3, Members: members, Data: []byte("state")}, Entries: []quorum.Entry{entry(4, 3)}},
		{Entries: []quorum.Entry{entry(5, 3)}},
		{Entries: []quorum.Entry{entry(4, 4), entry(5, 4)}, HardState: &quorum.HardState{Term: 4}},
		{Snapshot: &quorum.Snapshot{Index: 9, Term: 4, Members: members, Data: []byte("state 9")}},
		{Entries: []quorum.Entry{entry(10, 4)}},
	}
}

// stateAfter returns the state after the first n saves of script, computed without the journal.
func stateAfter(n int) quorum.State {
	state := quorum.FoundingState(voters)
	for _, save := range script()[:n] {
		if save.HardState != nil {
			state.HardState = *save.HardState
		}
		if save.Snapshot != nil {
			state.Snapshot, state.Entries = *save.Snapshot, nil
		}
		if len(save.Entries) > 0 {
			retained := save.Entries[0].Index - state.Snapshot.Index - 1
			state.Entries = append(state.Entries[:retained:retained], save.Entries...)
		}
	}
	return state
}

func statesEqual(a, b quorum.State) bool {
	return reflect.DeepEqual(a.HardState, b.HardState) && a.Snapshot.Index == b.Snapshot.Index && bytes.Equal(a.Snapshot.Data, b.Snapshot.Data) &&
		reflect.DeepEqual(a.Snapshot.Members, b.Snapshot.Members) && (len(a.Entries)+len(b.Entries) == 0 || reflect.DeepEqual(a.Entries, b.Entries))
}

func open(disk journal.Disk) (*journal.Journal, journal.Stored, error) {
	return journal.Open(disk, journal.WithCluster("g"), journal.WithName("a"), journal.WithSegmentSize(segmentSize),
		journal.WithRandom(func() uint64 { return 77 }))
}

// runScript calls Bootstrap and Open and makes the saves of script; it returns how many saves succeeded.
func runScript(disk journal.Disk) int {
	if journal.Bootstrap(disk, "g", "a", voters) != nil {
		return 0
	}
	j, _, err := open(disk)
	if err != nil {
		return 0
	}
	for n, save := range script() {
		if j.Save(save) != nil {
			return n
		}
	}
	return len(script())
}

// failFrom returns a disk on which every write, append, sync, rename and removal fails from the given operation on.
func failFrom(disk journal.Disk, from int) journal.Disk {
	count := 0
	injectFault := func() error {
		if count++; count >= from {
			return errors.New("injected fault")
		}
		return nil
	}
	faulty := disk
	faulty.Write = func(name string, data []byte) error { return errors.Join(disk.Write(name, data), injectFault()) }
	faulty.Append = func(name string, data []byte) error { return errors.Join(disk.Append(name, data), injectFault()) }
	faulty.Sync = func(name string) error {
		if err := injectFault(); err != nil {
			return err
		}
		return disk.Sync(name)
	}
	faulty.Rename = func(from, to string) error { return errors.Join(disk.Rename(from, to), injectFault()) }
	faulty.Remove = func(name string) error { return errors.Join(disk.Remove(name), injectFault()) }
	faulty.SyncFolder = func() error {
		if err := injectFault(); err != nil {
			return err
		}
		return disk.SyncFolder()
	}
	return faulty
}

var _ = Describe("journal", func() {
	It("returns every completed save after a crash at any disk operation, so that no vote or entry is lost", func() {
		random := rand.New(rand.NewPCG(1, 0))
		for fault := 1; fault < 100; fault++ {
			for range 20 {
				volume := journal.NewVolume()
				saved := runScript(failFrom(volume.Disk, fault))
				volume.Crash(random)
				_, stored, err := open(volume.Disk)
				if err != nil && saved == 0 {
					// An interrupted Bootstrap can be repeated.
					Expect(journal.Bootstrap(volume.Disk, "g", "a", voters)).To(Succeed())
					_, stored, err = open(volume.Disk)
				}
				Expect(err).NotTo(HaveOccurred())
				matches := statesEqual(stored.State, stateAfter(saved)) || saved < len(script()) && statesEqual(stored.State, stateAfter(saved+1))
				Expect(matches || stored.Fresh && saved == 0).To(BeTrue(), "operation %d, %d saves, state %+v", fault, saved, stored.State)
				reopened, _, err := open(volume.Disk)
				Expect(err).NotTo(HaveOccurred())
				Expect(reopened.Save(quorum.Save{HardState: &quorum.HardState{Term: 9}})).To(Succeed())
			}
		}
	})

	It("returns a prefix of the saves if the last segment is truncated anywhere, and truncates or refuses a segment with a flipped bit", func() {
		volume := journal.NewVolume()
		Expect(journal.Bootstrap(volume.Disk, "g", "a", voters)).To(Succeed())
		j, _, err := journal.Open(volume.Disk)
		Expect(err).NotTo(HaveOccurred())
		ends := []int{0}
		for _, save := range script()[:4] {
			Expect(j.Save(save)).To(Succeed())
			data, err := volume.Read(firstSegment)
			Expect(err).NotTo(HaveOccurred())
			ends = append(ends, len(data))
		}
		data, err := volume.Read(firstSegment)
		Expect(err).NotTo(HaveOccurred())
		for at := range data {
			complete := 0
			for complete+1 < len(ends) && ends[complete+1] <= at {
				complete++
			}
			Expect(volume.Write(firstSegment, data[:at])).To(Succeed())
			_, stored, err := open(volume.Disk)
			Expect(err).NotTo(HaveOccurred())
			Expect(statesEqual(stored.State, stateAfter(complete))).To(BeTrue(), "truncated at byte %d", at)

			flipped := bytes.Clone(data)
			flipped[at] ^= 0x10
			Expect(volume.Write(firstSegment, flipped)).To(Succeed())
			_, stored, err = open(volume.Disk)
			if complete == 3 {
				Expect(err).NotTo(HaveOccurred())
				Expect(statesEqual(stored.State, stateAfter(3))).To(BeTrue(), "bit flipped in byte %d", at)
				continue
			}
			var corrupt *journal.Corrupt
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "bit flipped in byte %d: %v", at, err)
			Expect(corrupt.Error()).To(ContainSubstring("remove the data folder"))
			Expect(corrupt.Offset).To(BeEquivalentTo(ends[complete]))
		}
	})

	It("refuses a damaged or missing snapshot or identity, and a missing segment", func() {
		for _, name := range []string{"snapshot", "identity"} {
			volume := journal.NewVolume()
			runScript(volume.Disk)
			data, err := volume.Read(name)
			Expect(err).NotTo(HaveOccurred())
			data[len(data)-1] ^= 1
			Expect(volume.Write(name, data)).To(Succeed())
			expectCorrupt(volume, name)
			Expect(volume.Remove(name)).To(Succeed())
			expectCorrupt(volume, name)
		}
		volume := journal.NewVolume()
		runScript(volume.Disk)
		files, err := volume.List()
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(3))
		Expect(volume.Remove(files[1])).To(Succeed())
		expectCorrupt(volume, files[1])
	})

	It("keeps a new incarnation across a power loss, since a VM that loses it could vote twice", func() {
		volume := journal.NewVolume()
		_, stored, err := open(volume.Disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Fresh).To(BeTrue())
		Expect(stored.Identity).To(Equal(quorum.Identity{Name: "a", Incarnation: 77}))
		volume.Crash(nil)
		_, stored, err = journal.Open(volume.Disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Identity.Incarnation).To(BeEquivalentTo(77))
		Expect(stored.Fresh).To(BeFalse())
	})

	It("makes unsynced writes of a killed process durable when it is opened", func() {
		volume := journal.NewVolume()
		disk := volume.Disk
		disk.Sync = func(string) error { return nil }
		Expect(journal.Bootstrap(volume.Disk, "g", "a", voters)).To(Succeed())
		j, _, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.Save(script()[0])).To(Succeed())
		_, read, err := open(volume.Disk)
		Expect(err).NotTo(HaveOccurred())
		volume.Crash(nil)
		_, reopened, err := open(volume.Disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(reopened.State.HardState).To(Equal(read.State.HardState))
	})

	It("fails every save after a failed one, whose data may or may not be durable", func() {
		volume := journal.NewVolume()
		Expect(journal.Bootstrap(volume.Disk, "g", "a", voters)).To(Succeed())
		j, _, err := open(failFrom(volume.Disk, 5))
		Expect(err).NotTo(HaveOccurred())
		for range 4 {
			err = j.Save(script()[0])
		}
		Expect(err).To(HaveOccurred())
		Expect(j.Save(script()[0])).To(MatchError(err))
	})

	It("refuses the folder of another VM or group, an empty folder without settings, and a second Bootstrap", func() {
		volume := journal.NewVolume()
		_, _, err := journal.Open(volume.Disk)
		expectRefused(err)
		Expect(journal.Bootstrap(volume.Disk, "g", "a", voters)).To(Succeed())
		expectRefused(journal.Bootstrap(volume.Disk, "g", "a", voters))
		expectRefused(journal.Bootstrap(journal.NewVolume().Disk, "g", "z", voters))
		_, _, err = journal.Open(volume.Disk, journal.WithName("b"))
		expectRefused(err)
		_, _, err = journal.Open(volume.Disk, journal.WithCluster("h"))
		expectRefused(err)
	})

	It("keeps the state in a folder of the file system", func() {
		disk := journal.Folder(GinkgoT().TempDir() + "/data")
		Expect(runScript(disk)).To(Equal(len(script())))
		_, stored, err := open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(statesEqual(stored.State, stateAfter(len(script())))).To(BeTrue())
	})
})

func expectCorrupt(volume *journal.Volume, file string) {
	GinkgoHelper()
	_, _, err := open(volume.Disk)
	var corrupt *journal.Corrupt
	Expect(errors.As(err, &corrupt)).To(BeTrue(), "%s: %v", file, err)
	Expect(corrupt.File).To(Equal(file))
}

func expectRefused(err error) {
	GinkgoHelper()
	var refused *journal.FolderRefused
	Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	Expect(refused.Remedy).NotTo(BeEmpty())
}

// FuzzOpen guards against a damaged data folder that makes Open panic.
func FuzzOpen(f *testing.F) {
	volume := journal.NewVolume()
	runScript(volume.Disk)
	files, _ := volume.List()
	for _, name := range files {
		data, _ := volume.Read(name)
		f.Add(data, uint16(3))
	}
	f.Add([]byte{0xff, 0, 0}, uint16(0))
	f.Fuzz(func(_ *testing.T, data []byte, flip uint16) {
		for _, name := range append(files, firstSegment) {
			damaged := journal.NewVolume()
			runScript(damaged.Disk)
			_ = damaged.Write(name, data)
			_, _, _ = open(damaged.Disk)
			old, _ := volume.Read(files[0])
			old[int(flip)%len(old)] ^= 1
			_ = damaged.Write(files[0], old)
			_, _, _ = open(damaged.Disk)
		}
	})
}
