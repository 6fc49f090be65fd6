// Package anvilplace decides which waiting tasks start on which targets, and which runs have to be
// evicted for them.
//
// Plan is a pure function of the replicated state and of what the leader knows about the targets.
// It is called after each change. Its decisions take effect only once they are committed to the
// replicated log.
//
// Urgent jobs (priority 0) are placed first, and among them those within the guarantee of their
// client account. They may evict runs of other jobs, and the targets that they wait for are claimed
// for them. All other jobs are ordered by deadline. If one of those is a gang that fits nowhere,
// targets are claimed for it until it fits. Gangs are placed as a whole, and in one rack where the
// step prefers that. Single tasks go to targets that are already in use, so that whole targets stay
// free for gangs.
package anvilplace
