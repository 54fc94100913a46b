/**
 * Tests of the structured log.
 */
package org.wigeontally.eventlog;
