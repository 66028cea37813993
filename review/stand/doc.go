// Package stand holds the stand-ins of the review's scripts: the metadata store, replicas, and the entry
// instances as processes.
package stand
