// Package security tests the separation of workspaces and the secrecy of passwords, parameters and
// keys over a whole fleet, whose daemons use TLS among each other and towards callers.
package security
