package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a request that comes again, at whatever VM and under whatever ID: it has the same client account, method, host,
// path with query, and body. It is a cryptographic hash, so that no caller can make a request that is taken for another one's.
func Fingerprint(account, method, host, target string, body []byte) uint64 {
	hash := sha256.New()
	var length [8]byte
	for _, field := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(target), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(field)
	}
	return max(1, binary.BigEndian.Uint64(hash.Sum(nil)))
}
