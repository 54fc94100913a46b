/**
 * State of the platform as entries and agents know it (configuration, backend servers,
 * entries), and the decisions that depend on it. The package does no I/O, and the time is
 * passed in by the caller.
 */
package org.wigeontally.fleet;
