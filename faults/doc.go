// Package faults holds tests that run a whole deployment as separate processes
// and kill, pause or stop these, with or without a load of calls. The test binary
// itself serves as the program of each process; targets and the load run in the
// test process. The package has no code outside its tests.
package faults
