// Package proxy is the data path: the entry proxy takes a caller's call and
// picks a target, the exit proxy beside that target admits the call and
// forwards it over loopback. Both sides live in one Proxy.
package proxy
