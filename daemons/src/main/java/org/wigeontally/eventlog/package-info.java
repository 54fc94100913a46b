/**
 * Structured logging: one event per line, with stable names of events and fields.
 */
package org.wigeontally.eventlog;
