package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the processor times that the kernel reports for a process.
const clockTick = 10 * time.Millisecond

// The indexes of fields of /proc/[pid]/stat, counted from 0 after the name of the program.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
)

// readProcessUsage returns the processor time and the resident bytes of a process.
func readProcessUsage(pid int) (processor time.Duration, resident int64, err error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	// The name of the program is in parentheses and may contain spaces and parentheses.
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
	if len(fields) <= statResident {
		return 0, 0, fmt.Errorf("process %d: only %d fields in its stat file", pid, len(fields))
	}
	var ticks int64
	for _, field := range []int{statUserTime, statSystemTime} {
		value, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += value
	}
	pages, err := strconv.ParseInt(fields[statResident], 10, 64)
	return time.Duration(ticks) * clockTick, pages * int64(os.Getpagesize()), err
}
