package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// frameSize is the size of a frame header in bytes: length, checksum of the record, checksum of the header.
const frameSize = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame returns the record preceded by its header. The header's checksum covers the file's number and the offset, so that
// stale bytes and bytes inside a record are never mistaken for a header.
func frame(record []byte, file, offset uint64) []byte {
	out := make([]byte, frameSize, frameSize+len(record))
	binary.LittleEndian.PutUint32(out, uint32(len(record)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(record, castagnoli))
	binary.LittleEndian.PutUint32(out[8:], headerChecksum(out, file, offset))
	return append(out, record...)
}

func headerChecksum(header []byte, file, offset uint64) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], file)
	binary.LittleEndian.PutUint64(position[8:], offset)
	return crc32.Update(crc32.Checksum(header[:8], castagnoli), castagnoli, position[:])
}

// unframe returns the record at offset, or false if the record is incomplete or damaged.
func unframe(data []byte, file, offset uint64) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < frameSize || binary.LittleEndian.Uint32(rest[8:]) != headerChecksum(rest, file, offset) {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	if uint64(len(rest)) < frameSize+length {
		return nil, false
	}
	record := rest[frameSize : frameSize+length]
	return record, crc32.Checksum(record, castagnoli) == binary.LittleEndian.Uint32(rest[4:])
}

// intactRecords returns the intact records at the start of a file and the offset after them; damaged is set if an intact
// record follows a bad one, which a crash during a write cannot cause.
func intactRecords(data []byte, file uint64) (records [][]byte, end uint64, damaged bool) {
	size := uint64(len(data))
	for end < size {
		record, ok := unframe(data, file, end)
		if !ok {
			break
		}
		records = append(records, record)
		end += frameSize + uint64(len(record))
	}
	for at := end + 1; at < size; at++ {
		if _, ok := unframe(data, file, at); ok {
			return records, end, true
		}
	}
	return records, end, false
}
