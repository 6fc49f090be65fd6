// Package anvilplace decides which waiting tasks start on which targets, and
// which runs have to end for them.
//
// Plan is a pure function of the replicated state and of what the leader
// knows of the targets. It is called after each change; what it decides takes
// effect only through the replicated log.
//
// Urgent jobs (priority 0) come first, those within their account's guarantee
// before the others. They may stop runs of other jobs, and what they wait for
// is kept free for them. All other jobs are ordered by the time at which they
// should have ended; a gang among them that fits nowhere gets room gathered for
// it. Gangs are placed whole, and in one rack where that
// matters; single tasks fill targets that are in use already, so that whole
// targets stay free for gangs.
package anvilplace
