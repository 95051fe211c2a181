package vm

import (
	"cmp"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
)

const (
	// originFileName is the file of a control VM's data folder that has the software versions of the services.
	originFileName = "software.json"
	// originFileInterval is the interval at which the file is written while nothing changes, so that it tells when the VM ended.
	originFileInterval = 5 * time.Second
	// maxDowntime is the longest time between the last writing and a start for which the file is used: versions that come and go while all
	// VMs are down begin no streams, and longer outages may be those of the control VMs only. The clock may have been set back by
	// maxClockStep.
	maxDowntime  = 20 * time.Second
	maxClockStep = 5 * time.Second
)

// savedOrigins is the content of the file.
type savedOrigins struct {
	Written time.Time     `json:"written"`
	Covered time.Duration `json:"covered"`
	New     bool          `json:"new"`
	Listed  []savedOrigin `json:"listed"`
}

// savedOrigin is a software version of a service, and the time since it was last listed.
type savedOrigin struct {
	Service  string        `json:"service"`
	Software string        `json:"software"`
	Age      time.Duration `json:"age"`
}

// originFile keeps the history of the software versions of a control VM for a restart of all VMs at once.
type originFile struct {
	folder    string
	log       log.Interface
	writtenAt time.Time
	// written are the versions in the file; failed is set after a writing that failed.
	written []origin.Origin
	failed  bool
}

// read returns the history in the file; false if there is none, or one that is too old.
func (f *originFile) read(now time.Time) (origin.SavedHistory, bool) {
	text, err := os.ReadFile(filepath.Join(f.folder, originFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return origin.SavedHistory{}, false
	}
	var saved savedOrigins
	if err == nil {
		err = json.Unmarshal(text, &saved)
	}
	if err != nil {
		f.log.WithField("cause", err.Error()).Warn("software versions not read from the data folder")
		return origin.SavedHistory{}, false
	}
	if down := now.Sub(saved.Written); down > maxDowntime || down < -maxClockStep {
		f.log.WithField("written", saved.Written).Info("software versions in the data folder are too old")
		return origin.SavedHistory{}, false
	}
	history := origin.SavedHistory{Covered: saved.Covered, IsNew: saved.New, Ages: map[origin.Origin]time.Duration{}}
	for _, s := range saved.Listed {
		history.Ages[origin.Origin{Service: s.Service, Software: s.Software}] = s.Age
	}
	return history, true
}

// write writes the file if the versions have changed, or after originFileInterval.
func (f *originFile) write(now time.Time, history origin.SavedHistory) {
	saved := savedOrigins{Written: now, Covered: history.Covered, New: history.IsNew, Listed: []savedOrigin{}}
	for o, age := range history.Ages {
		saved.Listed = append(saved.Listed, savedOrigin{Service: o.Service, Software: o.Software, Age: age})
	}
	slices.SortFunc(saved.Listed, func(a, b savedOrigin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	versions := make([]origin.Origin, len(saved.Listed))
	for i, s := range saved.Listed {
		versions[i] = origin.Origin{Service: s.Service, Software: s.Software}
	}
	if slices.Equal(versions, f.written) && now.Sub(f.writtenAt) < originFileInterval {
		return
	}
	text, err := json.Marshal(saved)
	if err == nil {
		err = journal.ReplaceFile(f.folder, originFileName, text)
	}
	f.writtenAt, f.written = now, versions
	if err != nil && !f.failed {
		f.log.WithField("cause", err.Error()).Warn("software versions not written to the data folder")
	}
	f.failed = err != nil
}
