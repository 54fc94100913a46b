/**
 * Tests of the entry process with a simulated store and simulated backend servers.
 */
package org.wigeontally.gateway;
