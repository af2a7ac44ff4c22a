package targethealth

const (
	// retriesPerRead is the part of the reads that may be tried again because they ran and failed.
	retriesPerRead = 0.1
	// maxSaved is the number of such attempts that may be saved up.
	maxSaved = 10
)

// Budget bounds the reads that are tried again after they ran and failed, so that failing targets do not multiply the load:
// to retriesPerRead of the reads, and maxSaved at once. The zero value is full. It is not safe for concurrent use.
type Budget struct {
	spent float64
}

// Earn records a read.
func (b *Budget) Earn() { b.spent = max(0, b.spent-retriesPerRead) }

// Spend reports whether a read may be tried again, and counts it.
func (b *Budget) Spend() bool {
	if b.spent > maxSaved-1 {
		return false
	}
	b.spent++
	return true
}
