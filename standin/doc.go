// Package standin and its sub-packages hold small fakes of the systems that papayacove serves:
// the platform object API and the target database. They are never shipped.
package standin
