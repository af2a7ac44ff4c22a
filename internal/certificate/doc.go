// Package certificate loads the certificates and certificate authorities of a daemon and reloads them while it runs.
//
// Files are polled for changes. A new connection uses the newest valid content; a file that cannot
// be used leaves the last valid content in force. Open connections are not affected by a reload.
package certificate
