// Package operator implements the commands of papayacovectl.
//
// Operators declare templates and workspaces; no command controls a connection or a promotion.
// Every change is a conditional update with a change id, so that concurrent edits are detected
// and the outcome of a change can be determined after its answer was lost.
//
// In the output of status, the gate of a target is the daemon that holds the target.
package operator
