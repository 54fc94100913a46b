/**
 * Tests of the entry on the platform, against stand-ins of the store and backend servers.
 */
package org.wigeontally.gateway;
