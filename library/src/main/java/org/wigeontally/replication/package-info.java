/**
 * Replication of the configuration: reading the log and exchanging state between peers.
 * The classes use no sockets or threads of their own, so they also run in simulated time.
 */
package org.wigeontally.replication;
