// Package security tests with a whole fleet that workspaces are isolated from each other, and that
// passwords, parameters and keys stay secret. The daemons use TLS between each other and with callers.
package security
