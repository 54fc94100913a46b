/**
 * At-most-once execution of requests: claims on idempotency keys in the log, recovery of
 * claims whose holder failed, and duplicate suppression at the agent.
 */
package org.wigeontally.claims;
