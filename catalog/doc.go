// Package catalog implements the replicated state machine behind the ledger:
// the configuration, its moves and the outcomes of operator commands.
//
// It runs in control instances. The ledger calls Catalog.Apply for each
// committed command, on one goroutine. The same sequence of commands results in
// the same state on every instance. The read methods of Catalog may be called
// from any goroutine.
package catalog
