package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

// Entry records one step of a command: "begun" before it is sent to the control VMs, and then its outcome.
type Entry struct {
	Time  time.Time `json:"time"`
	Actor string    `json:"actor"`
	// Organisation is the organisation of the actor; empty for actions of the system itself.
	Organisation string `json:"organisation"`
	// Source is the network address of the client that sent the statement.
	Source    string `json:"source"`
	Statement string `json:"statement"`
	Command   string `json:"command,omitempty"`
	Expected  uint64 `json:"expected,omitempty"`
	// Outcome is "begun", "accepted", "refused", "pending" or "unknown".
	Outcome string `json:"outcome"`
	// Version is the configuration version of the change if it is accepted or pending, else the current version; 0 in "begun" entries.
	Version uint64 `json:"version,omitempty"`
	// Reason explains a refusal or an unknown outcome.
	Reason string `json:"reason,omitempty"`
}

// Trail is the audit trail of one VM, stored in files if a disk is set, else in memory with a bounded number of entries.
type Trail struct {
	now         func() time.Time
	log         log.Interface
	disk        *Disk
	maxFileSize int
	maxFiles    int
	maxEntries  int

	// mu guards the fields below; concurrent requests of operators append entries.
	mu          sync.Mutex
	entries     []Entry
	files       []string
	currentFile *File
	// currentSize is the size of the newest file in bytes; torn is true if its last line may be incomplete.
	currentSize int
	torn        bool
}

// Option configures a Trail.
type Option func(*Trail)

// WithDisk stores the trail in files; each entry is synced before Append returns.
func WithDisk(d Disk) Option { return func(t *Trail) { t.disk = &d } }

// WithRotation sets the size in bytes above which a new file is started, and the number of newest files to keep.
func WithRotation(maxFileSize, maxFiles int) Option {
	return func(t *Trail) { t.maxFileSize, t.maxFiles = maxFileSize, maxFiles }
}

// WithMaxEntries sets the maximum number of entries that Entries returns and that a trail without a disk keeps.
func WithMaxEntries(entries int) Option { return func(t *Trail) { t.maxEntries = entries } }

// WithNow sets the wall clock for the timestamps of entries.
func WithNow(now func() time.Time) Option { return func(t *Trail) { t.now = now } }

// WithLog sets the logger for removed files and unreadable lines.
func WithLog(l log.Interface) Option { return func(t *Trail) { t.log = l } }

// New opens the trail; it fails if the folder or the newest file cannot be read.
func New(opts ...Option) (*Trail, error) {
	// 256 files of 4 MiB store about a year of 2700 changes per day, at 1 KiB for the two entries of each. A file is read into memory
	// whole, so its size counts against the VM's memory.
	t := &Trail{now: time.Now, log: log.Log, maxFileSize: 4 << 20, maxFiles: 256, maxEntries: 10_000}
	for _, opt := range opts {
		opt(t)
	}
	if t.disk == nil {
		return t, nil
	}
	names, err := t.disk.List()
	if err != nil {
		return nil, oops.Code("audit_unreadable").Wrapf(err, "the audit trail's folder cannot be read; check the data folder's owner and mode")
	}
	for _, name := range names {
		if filePattern.MatchString(name) {
			t.files = append(t.files, name)
		}
	}
	slices.Sort(t.files)
	if len(t.files) > 0 {
		last, err := t.disk.Read(t.files[len(t.files)-1])
		if err != nil {
			return nil, oops.Code("audit_unreadable").With("file", t.files[len(t.files)-1]).Wrapf(err, "the audit trail cannot be read; check the data folder's owner and mode")
		}
		t.currentSize = len(last)
		t.torn = len(last) > 0 && last[len(last)-1] != '\n'
	}
	return t, nil
}

var filePattern = regexp.MustCompile(`^audit-\d{8}\.jsonl$`)

// keyPattern matches keys in statements. Operators should write the hash of a key, but a plain-text key must not be stored either.
var keyPattern = regexp.MustCompile(`(?i)\bkey\s*=\s*("(\\.|[^"\\])*"?|[^\s;]+)`)

// Append stores an entry with keys in the statement masked; an entry without a time gets the current one. After an error the entry
// may be lost.
func (t *Trail) Append(e Entry) error {
	if e.Time.IsZero() {
		e.Time = t.now().UTC()
	}
	e.Statement = keyPattern.ReplaceAllString(e.Statement, "key=(hidden)")
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.disk == nil {
		t.entries = append(t.entries, e)
		if len(t.entries) > t.maxEntries {
			t.entries = slices.Delete(t.entries, 0, len(t.entries)-t.maxEntries)
		}
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return oops.Code("audit_unwritable").Wrapf(err, "the audit entry cannot be encoded")
	}
	if err := t.appendLine(append(line, '\n')); err != nil {
		return oops.Code("audit_unwritable").Wrapf(err, "the audit trail cannot be written; free space in the data folder")
	}
	return nil
}

func (t *Trail) appendLine(line []byte) error {
	if err := t.openCurrent(len(line)); err != nil {
		return err
	}
	if t.torn {
		// Terminates the incomplete line, so that this entry starts on a new line.
		line = append([]byte{'\n'}, line...)
	}
	t.torn = true
	n, err := t.currentFile.Write(line)
	t.currentSize += n
	if err == nil {
		err = t.currentFile.Sync()
	}
	if err != nil {
		_ = t.currentFile.Close() // The write or sync error is the one to report.
		t.currentFile = nil
		return err
	}
	t.torn = false
	return nil
}

// openCurrent opens the file for the next line, and starts a new file if length more bytes would exceed the size limit.
func (t *Trail) openCurrent(length int) error {
	full := len(t.files) > 0 && t.currentSize > 0 && t.currentSize+length > t.maxFileSize
	if t.currentFile != nil && !full {
		return nil
	}
	if t.currentFile != nil {
		_ = t.currentFile.Close() // Every line is already synced.
		t.currentFile = nil
	}
	name := fmt.Sprintf("audit-%08d.jsonl", 1)
	if n := len(t.files); n > 0 {
		name = t.files[n-1]
	}
	created := len(t.files) == 0 || full
	if full {
		var number int
		_, _ = fmt.Sscanf(name, "audit-%d.jsonl", &number) // The name matches filePattern.
		name = fmt.Sprintf("audit-%08d.jsonl", number+1)
	}
	f, err := t.disk.Append(name)
	if err != nil {
		return err
	}
	if created {
		if err := t.disk.Sync(); err != nil {
			_ = f.Close() // The sync error is the one to report.
			return err
		}
		t.files, t.currentSize, t.torn = append(t.files, name), 0, false
	}
	t.currentFile = &f
	t.removeOldFiles()
	return nil
}

func (t *Trail) removeOldFiles() {
	for len(t.files) > t.maxFiles {
		if err := t.disk.Remove(t.files[0]); err != nil && !isNotExist(err) {
			t.log.WithError(err).WithField("file", t.files[0]).Warn("old audit file cannot be removed")
			return
		}
		t.log.WithField("file", t.files[0]).Info("old audit file removed")
		t.files = t.files[1:]
	}
}

// matches reports whether the organisation may see the entry and the entry is not older than from. Actions of the system itself, such
// as the repair of a lost disk, have no organisation and are visible to all.
func (e *Entry) matches(organisation string, from time.Time) bool {
	return (e.Organisation == organisation || e.Organisation == "") && !e.Time.Before(from)
}

// Entries returns the newest entries that the organisation may see and that are not older than from, oldest first, up to the limit of
// WithMaxEntries.
func (t *Trail) Entries(organisation string, from time.Time) ([]Entry, error) {
	var list []Entry
	err := t.forEach(func(e Entry) error {
		if !e.matches(organisation, from) {
			return nil
		}
		list = append(list, e)
		// Deleting only at twice the limit moves each entry at most once on average.
		if len(list) >= 2*t.maxEntries {
			list = slices.Delete(list, 0, len(list)-t.maxEntries)
		}
		return nil
	})
	return list[max(0, len(list)-t.maxEntries):], err
}

// Export writes all entries that the organisation may see and that are not older than from as JSON lines, oldest first.
func (t *Trail) Export(w io.Writer, organisation string, from time.Time) error {
	encoder := json.NewEncoder(w)
	return t.forEach(func(e Entry) error {
		if !e.matches(organisation, from) {
			return nil
		}
		return encoder.Encode(e)
	})
}

func (t *Trail) forEach(visit func(Entry) error) error {
	t.mu.Lock()
	files, entries := slices.Clone(t.files), slices.Clone(t.entries)
	t.mu.Unlock()
	for _, e := range entries {
		if err := visit(e); err != nil {
			return err
		}
	}
	for _, name := range files {
		content, err := t.disk.Read(name)
		if isNotExist(err) {
			continue // Rotation removed it after the list was copied.
		}
		if err != nil {
			return oops.Code("audit_unreadable").With("file", name).Wrapf(err, "the audit trail cannot be read; check the data folder's owner and mode")
		}
		for line := range bytes.Lines(content) {
			var e Entry
			if len(bytes.TrimSpace(line)) == 0 {
				continue
			}
			if json.Unmarshal(line, &e) != nil {
				// A crash or a full disk cut the line off. A command whose first entry is cut off was not submitted; one whose
				// outcome is cut off still has its first entry.
				t.log.WithField("file", name).Warn("unreadable audit line skipped")
				continue
			}
			if err := visit(e); err != nil {
				return err
			}
		}
	}
	return nil
}
