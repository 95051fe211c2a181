package forward_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// scriptedAnswer is one way in which an upstream answers an upload.
type scriptedAnswer struct {
	path, status string
	framing      connection.Framing
	// upload is the length of the request's body, read what the upstream reads of it before it answers.
	upload, read int
	text, raw    string
	// cut is how many bytes of raw are sent.
	cut   int
	pause time.Duration
	// resets is set if the connection is reset at the end; otherwise the upstream reads the rest of the upload and closes in order.
	resets bool
}

func drawAnswer(random *rand.Rand) scriptedAnswer {
	pick := func(list ...string) string { return list[random.IntN(len(list))] }
	a := scriptedAnswer{
		path: kindPaths[random.IntN(len(kindPaths))], status: pick("200", "200", "200", "206", "404", "500", "000", "099", "600", "101"),
		framing: []connection.Framing{connection.UntilClose, connection.UntilClose, connection.ByLength, connection.ByChunks}[random.IntN(4)],
		upload:  []int{0, 100, 4096, 4097, 64 << 10, 300 << 10, longBody}[random.IntN(7)],
		pause:   time.Duration(random.IntN(4)) * time.Duration(random.IntN(1000)) * time.Microsecond, resets: random.IntN(3) > 0,
	}
	a.read = []int{0, a.upload / 2, a.upload}[random.IntN(3)]
	for i := range 1 + random.IntN(4) {
		a.text += event(i + 1)
	}
	if random.IntN(8) == 0 && a.framing != connection.ByChunks {
		// The answer exceeds what is buffered before it begins.
		a.text += fmt.Sprintf("id: 9\ndata: %s\n\n", strings.Repeat("x", 300<<10))
	}
	a.raw = strings.Replace(upstreamFramings[a.framing](a.text), "200", a.status, 1)
	a.cut = len(a.raw)
	if random.IntN(2) == 0 {
		a.cut = random.IntN(len(a.raw))
	}
	return a
}

// start starts an upstream that answers so.
func (a scriptedAnswer) start() directory.Upstream {
	return rawUpstream(func(conn net.Conn, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, int64(a.read))
		_, _ = io.WriteString(conn, a.raw[:a.cut])
		time.Sleep(a.pause)
		if a.resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
}

// ended reports whether the upstream ended its answer, and sent returns the body that it then meant: what it sent, if only the end of the
// connection marks the body's end.
func (a scriptedAnswer) ended() bool {
	head := len(a.raw) - len(a.text)
	switch a.framing {
	case connection.UntilClose:
		return !a.resets && a.cut >= head
	default:
		return a.cut == len(a.raw)
	}
}

func (a scriptedAnswer) meant() string {
	if a.framing == connection.UntilClose {
		return a.raw[len(a.raw)-len(a.text) : a.cut]
	}
	return a.text
}

// fault returns what is wrong with what the caller got, or an empty string.
func (a scriptedAnswer) fault(status int, text string, own bool, err error) string {
	valid := a.status >= "200" && a.status <= "599"
	switch {
	case err != nil:
		// The system makes an answer of its own only as long as none has begun, and a broken stream has no other end.
		if stream := a.path == "/check/" || a.path == "/note/"; !stream && len(a.text) < 256<<10 {
			return "no answer"
		}
		if valid && a.ended() && !a.resets && a.cut == len(a.raw) {
			return "a whole answer does not arrive"
		}
	case own && (status < 500 || !valid && status != http.StatusBadGateway):
		return "an unexpected refusal"
	case own && valid && !a.resets && a.cut == len(a.raw):
		return "a whole answer is refused"
	case own:
	case !valid:
		return "a status that is none"
	case fmt.Sprint(status) != a.status:
		return "another status"
	case !a.ended():
		return "a part as a complete answer"
	case text != a.meant():
		return "another text"
	}
	return ""
}

// Guards against any combination of framing, length of the upload, status and moment of a close or reset with which a caller gets a part of
// an answer, or something that is none, as a complete answer, or a sound answer not at all.
var _ = Describe("a complete answer, whatever its upstream does,", func() {
	for seed := range uint64(6) {
		It(fmt.Sprintf("is what the upstream sent as a whole (seed %d)", seed), func() {
			random := rand.New(rand.NewPCG(seed, 49))
			var faults []string
			const cases = 120
			for range cases {
				a := drawAnswer(random)
				fake := &fakePlacer{list: []directory.Upstream{a.start(), a.start()}}
				place, placements := counted(fake)
				status, text, header, err := uploadTo(newUploadServer(place).URL+a.path, a.upload)
				fault := a.fault(status, text, header.Get("X-Whole") == "", err)
				// The placement of a long answer ends behind its last byte.
				Eventually(func() int { return len(fake.recordedEnds()) }).Should(BeNumerically("==", placements.Load()), a.path)
				if fault != "" {
					faults = append(faults, fmt.Sprintf("%s: %d, error %v, to %s with %d bytes (%d read), %s by %s, %d of %d bytes, reset %t after %s",
						fault, status, err, a.path, a.upload, a.read, a.status, a.framing, a.cut, len(a.raw), a.resets, a.pause))
				}
			}
			Expect(faults).To(BeEmpty(), "%d of %d", len(faults), cases)
		})
	}
})
