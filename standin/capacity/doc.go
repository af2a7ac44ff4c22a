// Package capacity measures how the processor time, memory and traffic of a daemon grow with the number of its peers,
// groups, workspaces and caller connections. Most parts run the daemon's own packages over loopback in one process;
// the part "daemons" runs daemons as processes.
package capacity
