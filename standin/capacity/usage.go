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

// Usage is what the process has used so far.
type Usage struct {
	At time.Time
	// Processor is the time in user and kernel mode.
	Processor time.Duration
	// Written is the number of bytes that were passed to write calls, those to sockets included.
	Written int64
}

// ReadUsage returns the usage up to now.
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

// readWritten reads the count of written bytes that the kernel keeps of a process.
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
	return 0, fmt.Errorf("no count of written bytes")
}

// Rate is the usage of a second.
type Rate struct {
	// Processor is the share of a core.
	Processor float64
	// Written is in bytes a second.
	Written float64
	// Elapsed is the time over which it was measured.
	Elapsed time.Duration
}

// measureRate returns the usage a second over a window that begins after settle.
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
	// Stacks shrink by half at each collection.
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
