/**
 * The serving lease, which tells whether the configuration that a process holds is recent
 * enough to serve new work.
 */
package org.wigeontally.confirmation;
