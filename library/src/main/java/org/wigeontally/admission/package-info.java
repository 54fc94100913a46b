/**
 * Admission control at the agent: decides which requests are sent to a backend server,
 * queued or refused.
 */
package org.wigeontally.admission;
