/**
 * Stand-ins for the platform: log, origin, weight store and list of hosts.
 */
package org.wigeontally.emulator.platform;
