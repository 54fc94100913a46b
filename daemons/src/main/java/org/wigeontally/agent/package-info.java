/**
 * The agent: the process that runs on each backend server host and is the only way to
 * reach the host's backend servers.
 */
package org.wigeontally.agent;
