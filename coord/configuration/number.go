package configuration

import "encoding/binary"

// numberSize is the size in bytes of the number at the head of a numbered object's value.
const numberSize = 8

// EncodeNumbered encodes the value of a numbered object: an externally assigned number followed by the content.
func EncodeNumbered(number uint64, content []byte) []byte {
	value := make([]byte, numberSize, numberSize+len(content))
	binary.BigEndian.PutUint64(value, number)
	return append(value, content...)
}

// DecodeNumbered decodes the number and the content from a numbered object's value; an absent object has number 0.
func DecodeNumbered(value []byte) (number uint64, content []byte) {
	if len(value) < numberSize {
		return 0, nil
	}
	return binary.BigEndian.Uint64(value), value[numberSize:]
}

// PutNumbered returns the command that stores a numbered object; the number is assigned by the caller.
func PutNumbered(id, actor, kind, name string, number uint64, content []byte) Command {
	return Command{ID: id, Actor: actor, Numbered: true, Changes: []Change{Put(kind, name, EncodeNumbered(number, content))}}
}
