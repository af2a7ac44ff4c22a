package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// writeJSON sends an answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}

// dropConnection ends the connection of the request without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

// drain reads the body, because net/http notices a closed connection only after that.
func drain(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}

// sleep waits for d or until the caller is gone.
func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
