// Package target is the adapter between papayacove and a target. It is the only package that
// knows how a target is asked for its status, fenced, promoted and told whom to follow.
//
// docs/TARGET.md lists what is assumed of a target.
package target
