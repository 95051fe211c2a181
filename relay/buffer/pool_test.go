package buffer_test

import (
	"bytes"
	"errors"
	"runtime"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
)

const poolBytes = 256 << 10

// expectRoom expects that an answer has room for a number of bytes.
func expectRoom(p *buffer.Pool, bytes int) {
	GinkgoHelper()
	r := p.Reserve()
	defer r.Release()
	text := strings.Repeat("x", bytes)
	read, err := r.ReadAll(strings.NewReader(text), int64(bytes))
	Expect(err).NotTo(HaveOccurred())
	Expect(string(read)).To(Equal(text))
}

// allocatedBy returns the bytes of heap that a call allocates.
func allocatedBy(call func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// Guards against answers that exceed the memory for all of them together, and against memory that is not returned after an error.
var _ = Describe("a pool", func() {
	var pool *buffer.Pool

	BeforeEach(func() { pool = buffer.NewPool(poolBytes) })

	It("has room for an answer of its own size", func() {
		expectRoom(pool, poolBytes)
	})

	It("refuses what is beyond, and serves short answers meanwhile", func() {
		large, short := pool.Reserve(), pool.Reserve()
		_, err := large.Append(nil, make([]byte, poolBytes))
		Expect(err).NotTo(HaveOccurred())
		_, err = short.Append(nil, make([]byte, buffer.FreeBytes))
		Expect(err).NotTo(HaveOccurred())
		_, err = pool.Reserve().Append(nil, make([]byte, 2*buffer.FreeBytes+1))
		Expect(err).To(MatchError(buffer.ErrFull))
		large.Release()
		expectRoom(pool, poolBytes)
	})

	It("holds nothing of an answer that is too long or breaks off", func() {
		r := pool.Reserve()
		_, err := r.ReadAll(strings.NewReader(strings.Repeat("x", 100_001)), 100_000)
		Expect(err).To(MatchError(buffer.ErrTooLarge))
		broken := errors.New("broken")
		_, err = r.ReadAll(iotest.ErrReader(broken), 100_000)
		Expect(err).To(MatchError(broken))
		expectRoom(pool, poolBytes)
	})

	It("collects a text within the limit, and reads it back", func() {
		text, piece := pool.NewText(), strings.Repeat("abc", 1000)
		var whole strings.Builder
		for text.Append(piece) == nil {
			whole.WriteString(piece)
		}
		Expect(text.Append(piece)).To(MatchError(buffer.ErrFull))
		Expect(text.Len()).To(BeNumerically("~", poolBytes, poolBytes/2))
		Expect(text.String()).To(HavePrefix(whole.String()))
		Expect(text.String()).To(HaveLen(text.Len()))
		text.Release()
		Expect(text.Len()).To(BeZero())
		expectRoom(pool, poolBytes)
	})

	// Guards against answers that break off and leave the memory to a collector that is slower than the next answers.
	It("reuses the buffers of answers that have ended while others go on", func() {
		other := pool.Reserve()
		_, err := other.Append(nil, make([]byte, 2*buffer.FreeBytes))
		Expect(err).NotTo(HaveOccurred())
		broken := []byte(strings.Repeat("x", poolBytes/2))
		read := func() {
			_, err := pool.Reserve().ReadAll(bytes.NewReader(broken), int64(len(broken)-1))
			Expect(err).To(MatchError(buffer.ErrTooLarge))
		}
		read()
		Expect(allocatedBy(func() {
			for range 10 {
				read()
			}
		})).To(BeNumerically("<", 10*len(broken)))
	})

	It("keeps no buffers once the last answer has ended", func() {
		other := pool.Reserve()
		_, err := other.Append(nil, make([]byte, 2*buffer.FreeBytes))
		Expect(err).NotTo(HaveOccurred())
		_, err = pool.Reserve().ReadAll(strings.NewReader(strings.Repeat("x", poolBytes/2)), poolBytes/2-1)
		Expect(err).To(MatchError(buffer.ErrTooLarge))
		Expect(pool.Spare()).To(BeNumerically(">", 0))
		other.Release()
		Expect(pool.Spare()).To(BeZero())
	})

	It("gives no answer the bytes of another", func() {
		other := pool.Reserve()
		_, err := other.Append(nil, make([]byte, 2*buffer.FreeBytes))
		Expect(err).NotTo(HaveOccurred())
		_, err = pool.Reserve().ReadAll(strings.NewReader(strings.Repeat("x", poolBytes/2)), poolBytes/2-1)
		Expect(err).To(MatchError(buffer.ErrTooLarge))
		first, err := pool.Reserve().ReadAll(strings.NewReader(strings.Repeat("a", 100_000)), 100_000)
		Expect(err).NotTo(HaveOccurred())
		second, err := pool.Reserve().ReadAll(strings.NewReader(strings.Repeat("b", 100_000)), 100_000)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first)).To(Equal(strings.Repeat("a", 100_000)))
		Expect(string(second)).To(Equal(strings.Repeat("b", 100_000)))
	})

	It("has no limit if it is nil", func() { expectRoom(nil, 4*poolBytes) })
})
