package audit_test

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/audit"
)

// memoryDisk is an in-memory disk. A crash loses unsynced bytes, and while the disk is full a write fails after half of its bytes.
type memoryDisk struct {
	files  map[string][]byte
	synced map[string]int
	full   bool
}

func (m *memoryDisk) disk() audit.Disk {
	return audit.Disk{
		List: func() ([]string, error) { return slices.Collect(maps.Keys(m.files)), nil },
		Read: func(name string) ([]byte, error) {
			if content, ok := m.files[name]; ok {
				return content, nil
			}
			return nil, fs.ErrNotExist
		},
		Append: func(name string) (audit.File, error) {
			return audit.File{
				Write: func(p []byte) (int, error) {
					if m.full {
						m.files[name] = append(m.files[name], p[:len(p)/2]...)
						return len(p) / 2, errors.New("no space left")
					}
					m.files[name] = append(m.files[name], p...)
					return len(p), nil
				},
				Sync:  func() error { m.synced[name] = len(m.files[name]); return nil },
				Close: func() error { return nil },
			}, nil
		},
		Remove: func(name string) error { delete(m.files, name); return nil },
		Sync:   func() error { return nil },
	}
}

func (m *memoryDisk) crash() {
	for name := range m.files {
		m.files[name] = m.files[name][:m.synced[name]]
	}
}

func expectStatements(t *audit.Trail, organisation string, statements ...string) {
	GinkgoHelper()
	entries, err := t.Entries(organisation, time.Time{})
	Expect(err).NotTo(HaveOccurred())
	found := []string{}
	for _, e := range entries {
		found = append(found, e.Statement)
	}
	Expect(found).To(HaveExactElements(statements))
}

var _ = Describe("audit trail", func() {
	var m *memoryDisk
	discardLog := &log.Logger{Handler: discard.New()}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

	open := func(opts ...audit.Option) *audit.Trail {
		GinkgoHelper()
		t, err := audit.New(append([]audit.Option{audit.WithLog(discardLog), audit.WithNow(func() time.Time { return now })}, opts...)...)
		Expect(err).NotTo(HaveOccurred())
		return t
	}
	add := func(t *audit.Trail, organisation string, statements ...string) {
		GinkgoHelper()
		for _, s := range statements {
			Expect(t.Append(audit.Entry{Organisation: organisation, Statement: s, Outcome: "accepted"})).To(Succeed())
		}
	}

	BeforeEach(func() { m = &memoryDisk{files: map[string][]byte{}, synced: map[string]int{}} })

	It("keeps appended entries after a crash, so that every accepted change stays recorded", func() {
		add(open(audit.WithDisk(m.disk())), "makers", "a", "b")
		m.crash()
		expectStatements(open(audit.WithDisk(m.disk())), "makers", "a", "b")
	})

	It("skips a line that was cut off and reads the entries after it", func() {
		add(open(audit.WithDisk(m.disk())), "makers", "a")
		m.files["audit-00000001.jsonl"] = append(m.files["audit-00000001.jsonl"], `{"organisation":"mak`...)
		t := open(audit.WithDisk(m.disk()))
		add(t, "makers", "b")
		expectStatements(t, "makers", "a", "b")
	})

	It("returns an error while the disk is full and stores entries again once there is space", func() {
		t := open(audit.WithDisk(m.disk()))
		add(t, "makers", "a")
		m.full = true
		Expect(t.Append(audit.Entry{Organisation: "makers", Statement: "lost"})).To(MatchError(ContainSubstring("free space")))
		m.full = false
		add(t, "makers", "b")
		expectStatements(t, "makers", "a", "b")
	})

	It("rotates files by size and removes the oldest, so that it cannot fill the disk", func() {
		t := open(audit.WithDisk(m.disk()), audit.WithRotation(300, 2))
		for _, s := range strings.Split("abcdefghij", "") {
			add(t, "makers", s)
		}
		Expect(slices.Sorted(maps.Keys(m.files))).To(Equal([]string{"audit-00000004.jsonl", "audit-00000005.jsonl"}))
		expectStatements(t, "makers", "g", "h", "i", "j")
		t = open(audit.WithDisk(m.disk()), audit.WithRotation(300, 2))
		add(t, "makers", "k")
		expectStatements(t, "makers", "i", "j", "k")
	})

	It("returns a bounded number of entries, so that a long trail cannot fill a small VM's memory, and exports all", func() {
		t := open(audit.WithDisk(m.disk()), audit.WithMaxEntries(3))
		add(t, "makers", strings.Split("abcdefghij", "")...)
		expectStatements(t, "makers", "h", "i", "j")
		var out bytes.Buffer
		Expect(t.Export(&out, "makers", time.Time{})).To(Succeed())
		Expect(strings.Count(out.String(), "\n")).To(Equal(10))
	})

	It("keeps the newest entries in memory if the VM has no disk", func() {
		t := open(audit.WithMaxEntries(2))
		add(t, "makers", "a", "b", "c")
		expectStatements(t, "makers", "b", "c")
	})

	It("exports the entries of one organisation only, from the given time on", func() {
		t := open()
		add(t, "makers", "a")
		add(t, "baths", "b")
		now = now.Add(time.Hour)
		add(t, "makers", "c")
		var out bytes.Buffer
		Expect(t.Export(&out, "makers", now)).To(Succeed())
		Expect(out.String()).To(Equal(`{"time":"2026-01-02T04:04:05Z","actor":"","organisation":"makers","source":"","statement":"c","outcome":"accepted"}` + "\n"))
		expectStatements(t, "makers", "a", "c")
	})

	It("shows actions of the system itself to every organisation", func() {
		t := open()
		add(t, "", "repair")
		add(t, "baths", "b")
		expectStatements(t, "makers", "repair")
		expectStatements(t, "baths", "repair", "b")
	})

	It("masks keys in statements, so that one written in plain text by mistake is not stored", func() {
		t := open()
		add(t, "makers", `create account a key=secret weight=2; set account b key = "se cret"`)
		expectStatements(t, "makers", `create account a key=(hidden) weight=2; set account b key=(hidden)`)
	})

	It("stores and rotates its files in a real folder", func() {
		folder := GinkgoT().TempDir() + "/audit"
		disk, err := audit.OpenFolder(folder)
		Expect(err).NotTo(HaveOccurred())
		t := open(audit.WithDisk(disk), audit.WithRotation(200, 1))
		add(t, "makers", "a", "b")
		expectStatements(open(audit.WithDisk(disk)), "makers", "b")
	})
})
