/**
 * Requests that must run at most once: claims in the log, their batching, recovery after
 * the holder of a claim is lost, and the gate at the agent.
 */
package org.wigeontally.claims;
