package floodtest

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// LiveHeap returns the bytes of the live heap once nothing is allocated any more. What is allocated while the collector marks counts as
// live, garbage or not, so the floods must wait meanwhile: see Rounds.
func LiveHeap() int64 {
	settle()
	runtime.GC()
	return read("/gc/heap/live:bytes")
}

// settle waits until three readings in a row find nothing allocated.
func settle() {
	for last, same := int64(0), 0; same < 3; time.Sleep(2 * time.Millisecond) {
		if now := read("/gc/heap/allocs:bytes"); now != last {
			last, same = now, 0
			continue
		}
		same++
	}
}

func read(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
