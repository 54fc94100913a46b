/**
 * How processes bring each other up to date: reading of the log, exchanges between peers,
 * and the outcome of changes. Without sockets and threads.
 */
package org.wigeontally.replication;
