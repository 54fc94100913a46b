/**
 * Structured log lines: one event a line, with stable names of events and fields.
 */
package org.wigeontally.eventlog;
