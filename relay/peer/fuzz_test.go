package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
)

// frameWithLength returns a frame whose header states the given length, whatever the length of the body.
func frameWithLength(length uint32, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), body...)
}

func addSeedFrames(f *testing.F) {
	for _, body := range []*Envelope{
		{},
		{Body: &Envelope_Quorum{Quorum: []byte("quorum")}},
		{Body: &Envelope_LeaseRequest{LeaseRequest: &LeaseRequest{Vm: "vm1", Boot: 1, Installed: 2, Sent: 3}}},
		{Body: &Envelope_Digest{Digest: &Digest{
			Outstanding: []*Count{{Name: "e1", Count: 2}}, Hot: []*Hot{{Prefix: 1, Rate: 2}}, Hints: []*Hint{{Model: "m", Hash: 1, Tokens: 256}},
		}}},
		{Body: &Envelope_ConfigurationReply{ConfigurationReply: &ConfigurationReply{}}},
	} {
		var frame bytes.Buffer
		if _, err := writeMessage(&frame, body); err != nil {
			f.Fatal(err)
		}
		f.Add(frame.Bytes())
		f.Add(frame.Bytes()[:frame.Len()-frame.Len()/4])
		f.Add(append(frame.Bytes(), frame.Bytes()...))
	}
	f.Add(frameWithLength(maxMessageBytes, []byte("x")))
	f.Add(frameWithLength(maxMessageBytes+1, []byte("x")))
	f.Add(frameWithLength(1<<32-1, nil))
	f.Add(frameWithLength(2, []byte{0x0a, 0x7f}))
}

// Decoding may allocate up to maxAllocPerByte bytes per received byte, since an empty element of a repeated field takes two
// bytes in a frame and a whole struct in memory; maxAllocFixed allows for the readers' buffers and the test's other goroutines.
const (
	maxAllocPerByte = 512
	maxAllocFixed   = 1 << 20
)

// expectBoundedAllocation fails if reading allocates more memory than the limits above allow for the bytes received.
func expectBoundedAllocation(t *testing.T, received int, read func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	read()
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocFixed+maxAllocPerByte*uint64(received) {
		t.Fatalf("reading %d bytes allocated %d bytes", received, allocated)
	}
}

// FuzzRead guards against frames that make the reader panic, allocate memory for bytes that are never received, or read past
// the end of the input.
func FuzzRead(f *testing.F) {
	addSeedFrames(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		expectBoundedAllocation(t, len(raw), func() {
			in := bufio.NewReader(bytes.NewReader(raw))
			total := 0
			for {
				n, err := readMessage(in, &Envelope{})
				total += n
				if err != nil {
					break
				}
				if n < 4 || total > len(raw) {
					t.Fatalf("read a frame of %d bytes, %d bytes in all, from an input of %d bytes", n, total, len(raw))
				}
			}
		})
	})
}

// FuzzEnvelope guards against messages that change when they are decoded and encoded again.
func FuzzEnvelope(f *testing.F) {
	addSeedFrames(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var first, second Envelope
		if _, err := readMessage(bufio.NewReader(bytes.NewReader(frameWithLength(uint32(len(raw)), raw))), &first); err != nil {
			return
		}
		var frame bytes.Buffer
		if _, err := writeMessage(&frame, &first); err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(&frame)
		if _, err := readMessage(in, &second); err != nil {
			t.Fatal(err)
		}
		// Compares the encodings, since a NaN field is not equal to itself.
		if !bytes.Equal(encode(t, &first), encode(t, &second)) {
			t.Fatalf("sent %v, received %v", &first, &second)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Fatal("bytes are left after the frame")
		}
	})
}

func encode(t *testing.T, message proto.Message) []byte {
	t.Helper()
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
