/**
 * Control plane of a process: replicates the configuration, maintains the lease that
 * permits the process to serve, and tracks the known hosts.
 */
package org.wigeontally.control;
