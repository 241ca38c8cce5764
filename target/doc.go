// Package target takes the announcements of targets and keeps the targets that
// are present.
//
// An Announcer stands in the proxy beside a target, a Membership in every
// source.
package target
