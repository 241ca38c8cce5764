// Package standin provides a stand-in target for demonstrations, tests and
// measurements. Depending on its options, it delays, fails or sheds calls and
// reports a false health or load. A request with HeaderCrash crashes it. It counts
// how often each request ran.
//
// A target runs in any process: that of the target command, or that of a
// demonstration, soak or measurement together with others. Target.Run blocks;
// calls run on the goroutines of its HTTP server, announcements on one of their
// own.
package standin
