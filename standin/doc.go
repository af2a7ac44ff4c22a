// Package standin and its sub-packages hold small stand-ins for the systems that papayacove works
// with, the platform and the target databases, and the tests and tools that use them. They are
// never shipped.
package standin
