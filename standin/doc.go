// Package standin provides a stand-in target for demonstrations, tests and
// measurements. By its options it is slow, fails or sheds calls, reports a false
// health or load, or crashes on request. It counts how often each request ran.
//
// A target runs in any process: that of the target command, or that of a
// demonstration, soak or measurement together with others. Target.Run blocks;
// calls run on the goroutines of its HTTP server, announcements on one of their
// own.
package standin
