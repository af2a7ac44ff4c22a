package capacity

import (
	"bytes"
	"context"
	"fmt"
	"github.com/papayacove/papayacove/internal/clock"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// Usage is what this process has used up to a time.
type Usage struct {
	At time.Time
	// Processor is the processor time in user and kernel mode.
	Processor time.Duration
	// Written is the number of bytes that were passed to write calls, including those to sockets.
	Written int64
}

// ReadUsage returns the usage of this process up to now.
func ReadUsage() (Usage, error) {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return Usage{}, fmt.Errorf("read processor time: %w", err)
	}
	written, err := readWritten()
	if err != nil {
		return Usage{}, err
	}
	processor := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return Usage{At: time.Now(), Processor: processor, Written: written}, nil
}

// readWritten returns the number of bytes that this process has written, as the kernel counts them.
func readWritten() (int64, error) {
	content, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0, fmt.Errorf("read written bytes: %w", err)
	}
	for line := range bytes.Lines(content) {
		value, found := bytes.CutPrefix(line, []byte("wchar: "))
		if found {
			return strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		}
	}
	return 0, fmt.Errorf("read written bytes: no wchar line in /proc/self/io")
}

// Rate is the usage per second of this process.
type Rate struct {
	// Processor is the number of used cores, 1 for one core.
	Processor float64
	// Written is in bytes per second.
	Written float64
	// Elapsed is the time over which the rate was measured.
	Elapsed time.Duration
}

// measureRate waits for settle, and then returns the usage per second over window.
func measureRate(ctx context.Context, settle, window time.Duration) (Rate, error) {
	if err := clock.Sleep(ctx, settle); err != nil {
		return Rate{}, err
	}
	before, err := ReadUsage()
	if err != nil {
		return Rate{}, err
	}
	if err := clock.Sleep(ctx, window); err != nil {
		return Rate{}, err
	}
	after, err := ReadUsage()
	if err != nil {
		return Rate{}, err
	}
	elapsed := after.At.Sub(before.At)
	return Rate{
		Processor: (after.Processor - before.Processor).Seconds() / elapsed.Seconds(),
		Written:   float64(after.Written-before.Written) / elapsed.Seconds(),
		Elapsed:   elapsed,
	}, nil
}

// memoryInUse returns the bytes of live heap objects and stacks.
func memoryInUse() int64 {
	// The stack of a goroutine shrinks by at most half at each collection, so one collection is not enough.
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
