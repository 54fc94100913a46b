/**
 * Requests that found no slot of an engine: whether they wait for one at the entry, in
 * which order, for how long, and when the callers of refused ones return. No sockets; the
 * time is passed in.
 */
package org.wigeontally.queueing;
