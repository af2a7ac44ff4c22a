// Package certificate loads the certificates and authorities of a daemon and reloads them while it runs.
//
// Files are polled for changes. A new connection uses the newest valid content; a file that cannot
// be used leaves the last valid content in force. Connections that are open keep what they began with.
package certificate
