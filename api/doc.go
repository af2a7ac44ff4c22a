// Package api holds the messages, settings and platform objects of papayacove.
//
// The types are generated from the files in schema/; schema/generate.sh writes them.
package api
