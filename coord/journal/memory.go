package journal

import (
	"bytes"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
)

// Volume is a data folder in memory for tests; it tracks which bytes and file names are durable.
type Volume struct {
	Disk
	files map[string]*memoryFile
	// durable are the files whose names a crash keeps.
	durable map[string]*memoryFile
}

type memoryFile struct {
	data []byte
	// synced is the content that a crash keeps.
	synced []byte
}

// NewVolume returns an empty Volume.
func NewVolume() *Volume {
	v := &Volume{}
	v.Wipe()
	v.Disk = Disk{
		List: func() ([]string, error) { return slices.Sorted(maps.Keys(v.files)), nil },
		Read: func(name string) ([]byte, error) {
			file, err := v.file(name)
			return bytes.Clone(file.data), err
		},
		Write:    v.write,
		Append:   v.append,
		Truncate: v.truncate,
		Sync: func(name string) error {
			file, err := v.file(name)
			file.synced = slices.Clip(file.data)
			return err
		},
		Rename: func(from, to string) error {
			file, err := v.file(from)
			if err == nil {
				delete(v.files, from)
				v.files[to] = file
			}
			return err
		},
		Remove: func(name string) error {
			_, err := v.file(name)
			delete(v.files, name)
			return err
		},
		SyncFolder: func() error { v.durable = maps.Clone(v.files); return nil },
	}
	return v
}

func (v *Volume) file(name string) (*memoryFile, error) {
	if file, ok := v.files[name]; ok {
		return file, nil
	}
	return &memoryFile{}, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
}

func (v *Volume) write(name string, data []byte) error {
	file, err := v.file(name)
	if err != nil {
		v.files[name] = file
	}
	file.data = bytes.Clone(data)
	return nil
}

func (v *Volume) append(name string, data []byte) error {
	file, err := v.file(name)
	file.data = append(file.data, data...)
	return err
}

func (v *Volume) truncate(name string, size uint64) error {
	file, err := v.file(name)
	if err == nil && size < uint64(len(file.data)) {
		file.data = slices.Clip(file.data[:size])
	}
	return err
}

// Wipe removes all files.
func (v *Volume) Wipe() { v.files, v.durable = map[string]*memoryFile{}, map[string]*memoryFile{} }

// Crash discards what was not synced. With a random source, unsynced names may survive, and so may part of the unsynced
// bytes, possibly with a bit flipped, as after a torn write.
func (v *Volume) Crash(random *rand.Rand) {
	if random == nil || random.IntN(2) == 0 {
		v.files = maps.Clone(v.durable)
	}
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		file := v.files[name]
		surviving := file.synced
		if unsynced := len(file.data) - len(surviving); random != nil && unsynced > 0 && bytes.HasPrefix(file.data, surviving) {
			surviving = bytes.Clone(file.data[:len(surviving)+random.IntN(unsynced+1)])
			if survivingUnsynced := len(surviving) - len(file.synced); survivingUnsynced > 0 && random.IntN(2) == 0 {
				surviving[len(file.synced)+random.IntN(survivingUnsynced)] ^= 1 << random.IntN(8)
			}
		}
		file.data, file.synced = slices.Clip(surviving), slices.Clip(surviving)
	}
	v.durable = maps.Clone(v.files)
}
