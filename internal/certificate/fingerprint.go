package certificate

import (
	"crypto/sha256"
	"os"
)

// fingerprint is a hash of the content of one or more files. Changes are detected by content and not by modification
// time, because a renewal may keep or restore times, and the files are small.
type fingerprint [sha256.Size]byte

// fingerprintOf reads the files and hashes them; a file that cannot be read is hashed as an empty one.
func fingerprintOf(paths []string) fingerprint {
	hash := sha256.New()
	for _, path := range paths {
		content, _ := os.ReadFile(path)
		part := sha256.Sum256(content)
		hash.Write(part[:])
	}
	return fingerprint(hash.Sum(nil))
}
