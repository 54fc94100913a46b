/**
 * The agent: the process in the slot of a backend server host, the sole door of the
 * host's backend servers.
 */
package org.wigeontally.agent;
