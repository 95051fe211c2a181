package configuration

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// Update is a delta or a full set of objects that brings a holder to another version.
type Update struct {
	From uint64
	To   uint64
	// Full means that Objects are all objects of version To; otherwise Changes lead from version From to version To.
	Full    bool
	Objects []Object
	Changes []Change
}

// Holder is the configuration that a VM has installed; its version never decreases.
type Holder struct {
	version uint64
	objects Objects
}

// NewHolder returns a holder at version 0, which has no objects.
func NewHolder() *Holder { return &Holder{objects: newObjects(nil)} }

// Version returns the installed version; 0 means none.
func (h *Holder) Version() uint64 { return h.version }

// Objects returns the installed objects.
func (h *Holder) Objects() Objects { return h.objects }

// Install installs a newer version and reports whether the version changed; an update to an older or equal version is
// ignored. The error means that the delta starts from another version: request an update from the installed version.
func (h *Holder) Install(update Update) (bool, error) {
	if update.To <= h.version {
		return false, nil
	}
	previous := h.version
	switch {
	case update.Full:
		h.objects = newObjects(update.Objects)
	case update.From != h.version:
		return false, oops.Code("delta_base").Errorf("the delta starts from version %d but version %d is installed: request an update from version %d", update.From, h.version, h.version)
	default:
		objects := h.objects.clone()
		for _, change := range update.Changes {
			objects.apply(change)
		}
		h.objects = objects
	}
	h.version = update.To
	if h.version < previous {
		panic("configuration: the installed version decreased")
	}
	return true, nil
}

// Save encodes the installed configuration, with a checksum, for a file or for a peer; Load decodes it.
func (h *Holder) Save() []byte {
	update := Update{To: h.version, Full: true, Objects: h.objects.All()}
	message := encodeUpdate(update)
	message.Checksum = checksum(update)
	return marshal(message)
}

// Load installs a configuration that Save encoded unless it is older than the installed version; damaged data returns an
// error and changes nothing.
func (h *Holder) Load(data []byte) error {
	var message wire.RegistryUpdate
	if err := proto.Unmarshal(data, &message); err != nil {
		return oops.Code("saved_damaged").Wrapf(err, "the saved configuration is damaged: remove it and fetch the configuration from a control VM")
	}
	update := decodeUpdate(&message)
	if !update.Full || message.GetChecksum() != checksum(update) {
		return oops.Code("saved_damaged").Errorf("the saved configuration has a wrong checksum: remove it and fetch the configuration from a control VM")
	}
	_, err := h.Install(update)
	return err
}

func checksum(update Update) uint64 {
	return xxhash.Sum64(marshal(encodeUpdate(update)))
}
