// Package faults holds runs of a whole site as separate processes that are
// killed, frozen and stopped under load.
package faults
