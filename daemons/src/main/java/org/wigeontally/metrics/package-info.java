/**
 * Metrics of a process in the Prometheus text format.
 */
package org.wigeontally.metrics;
