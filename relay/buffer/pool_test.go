package buffer_test

import (
	"errors"
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

	It("has no limit if it is nil", func() { expectRoom(nil, 4*poolBytes) })
})
