// Package workload offers the work of crew leads and supervisors to a fleet and checks what each
// caller was told against what the databases hold in the end.
package workload
