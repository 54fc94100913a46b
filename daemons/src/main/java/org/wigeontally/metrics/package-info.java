/**
 * Metrics of a process in Prometheus' text format.
 */
package org.wigeontally.metrics;
