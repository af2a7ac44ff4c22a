// Package operator holds the commands of papayacovectl.
//
// Operators declare templates and workspaces; no command steers a connection or a promotion.
// Every change is a conditional update with a change id, so that a concurrent edit is found and
// a lost answer can be resolved.
package operator
