// Package capacity measures what a daemon costs with the number of its peers, groups, workspaces
// and caller connections, with real code over loopback in one process.
package capacity
