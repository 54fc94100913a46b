/**
 * Tests of requests that wait for a slot.
 */
package org.wigeontally.queueing;
